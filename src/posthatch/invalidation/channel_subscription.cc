#include "posthatch/invalidation/channel_subscription.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "posthatch/invalidation/channel_names.h"
#include "posthatch/invalidation/wire_duration.h"

namespace posthatch::invalidation {
namespace {

// A channel without a message for this many heartbeats counts as broken.
constexpr int kMaxMissedHeartbeats = 2;
// Clock rates of two machines may differ by up to 1/kClockRateDivisor (0.1%).
constexpr int64_t kClockRateDivisor = 1000;
// Registration numbers start at a random 48-bit number, so that messages for an earlier incarnation
// of this process are never taken for its own.
constexpr int kRegistrationNumberShift = 16;

}  // namespace

ChannelSubscription::ChannelSubscription(runtime::Runtime* runtime, SubscriptionOptions options,
                                         std::string channel, Endpoints endpoints,
                                         SubscriptionObserver* observer)
    : runtime_(runtime),
      options_(std::move(options)),
      channel_(std::move(channel)),
      observer_(observer),
      last_registration_number_((*runtime->random)() >> kRegistrationNumberShift),
      server_selector_(runtime->clock, std::move(endpoints)),
      response_timer_(runtime->timers),
      renewal_timer_(runtime->timers),
      heartbeat_timeout_timer_(runtime->timers),
      increment_timer_(runtime->timers) {}

void ChannelSubscription::Start() { Register(); }

void ChannelSubscription::Register() {
  renewal_timer_.Cancel();
  const std::string server = server_selector_.Current();
  attempt_.reset();
  response_timer_.Start(options_.response_timeout, [this] { OnResponseTimeout(); });
  if (!server.empty()) SendRequest(server);
}

void ChannelSubscription::SendRequest(const std::string& server) {
  ChannelEnvelope envelope;
  RegistrationRequest* request = envelope.mutable_request();
  request->set_channel(channel_);
  request->set_registration(++last_registration_number_);
  request->set_lifetime_ms(ToWireMilliseconds(options_.lifetime));
  request->set_heartbeat_ms(ToWireMilliseconds(options_.heartbeat));
  request->set_zone(options_.zone);
  request->set_relay(options_.relay);
  request->set_redirected_from(server_selector_.redirected_from());
  for (const std::string& relay : server_selector_.AvoidedRelays()) request->add_avoid(relay);
  request->set_base(options_.targeted ? RegistrationRequest::EXCLUDE_ALL
                                      : RegistrationRequest::INCLUDE_ALL);
  // A response for the whole channel states all versions anyway, so known versions are sent only in
  // targeted service.
  for (const std::string& target : targets_) {
    RegisteredObject* included = request->add_include();
    included->set_object(target);
    const SubscribedObjects::Object* known = objects_.FindKnown(target);
    if (known != nullptr) *included->mutable_version() = known->version;
  }
  increment_include_.clear();
  increment_exclude_.clear();
  increment_timer_.Cancel();
  const runtime::MonotonicTime now = runtime_->clock->Now();
  request->set_sent_ns(runtime::ToNanoseconds(now));
  attempt_ = Attempt{last_registration_number_, server, now};
  ++stats_.requests_sent;
  SendEnvelope(server, envelope);
}

void ChannelSubscription::SendEnvelope(const std::string& server, const ChannelEnvelope& envelope) {
  runtime_->transport->Send(server, runtime::SERVICE_CHANNELS, envelope.SerializeAsString(),
                            runtime::Delivery::kStream);
}

void ChannelSubscription::OnResponseTimeout() {
  if (attempt_.has_value()) server_selector_.OnNoResponse(attempt_->server);
  TryNextServer();
}

void ChannelSubscription::TryNextServer() {
  server_selector_.Advance();
  Register();
}

void ChannelSubscription::HandleResponse(const runtime::Envelope& envelope,
                                         const RegistrationResponse& response) {
  if (response.increment() != 0) {
    if (registration_.has_value() && response.registration() == registration_->number &&
        envelope.from_endpoint() == registration_->server) {
      ApplyIncrementResponse(response);
    }
    return;
  }
  if (!attempt_.has_value() || response.registration() != attempt_->number ||
      envelope.from_endpoint() != attempt_->server) {
    ++stats_.ignored;
    return;
  }
  switch (response.status()) {
    case RegistrationResponse::OK:
      server_selector_.OnGranted();
      return ApplyResponse(response);
    case RegistrationResponse::REDIRECT:
      ++stats_.redirections;
      if (server_selector_.Redirect(attempt_->server, response.redirect_to())) return Register();
      return OnRefused();
    default:
      ++stats_.refusals;
      return OnRefused();
  }
}

void ChannelSubscription::OnRefused() {
  server_selector_.OnRefused(attempt_->server);
  attempt_.reset();
  response_timer_.Start(options_.retry_delay, [this] { TryNextServer(); });
}

ChannelSubscription::ActiveRegistration ChannelSubscription::MakeRegistration(
    const RegistrationResponse& response) const {
  ActiveRegistration registration;
  registration.number = attempt_->number;
  registration.server = attempt_->server;
  registration.epoch = response.server_epoch();
  registration.sent_at = attempt_->sent_at;
  registration.server_ns = response.server_ns();
  registration.expected_sequence = response.next_sequence();
  registration.heartbeat = FromWireMilliseconds(response.heartbeat_ms());
  const runtime::Duration lifetime = FromWireMilliseconds(response.lifetime_ms());
  registration.volume_validation = lifetime <= runtime::Duration::zero();
  // With volume validation no messages follow and no lifetime ends: trust is limited by the
  // objects' guarantees, and by the heartbeat time-out unless the renewal after one heartbeat
  // succeeds.
  registration.expires_at =
      registration.volume_validation ? runtime::MonotonicTime::max() : attempt_->sent_at + lifetime;
  registration.proven_until = ToLocalTime(registration, response.proven_ns());
  registration.last_received_at = runtime_->clock->Now();
  return registration;
}

void ChannelSubscription::ApplyResponse(const RegistrationResponse& response) {
  ++stats_.responses;
  response_timer_.Cancel();
  registration_ = MakeRegistration(response);
  attempt_.reset();
  objects_.MarkAllNotCovered();
  objects_.Apply(response.objects());
  // Renews well before the lifetime ends, so that a renewal succeeds in time even if some messages
  // are lost.
  const runtime::Duration renewal = registration_->volume_validation
                                        ? registration_->heartbeat
                                        : FromWireMilliseconds(response.lifetime_ms()) * 2 / 3;
  renewal_timer_.Start(renewal, [this] { Register(); });
  CheckHeartbeatTimeout();
  observer_->OnSynchronized(channel_);
}

runtime::MonotonicTime ChannelSubscription::ToLocalTime(const ActiveRegistration& registration,
                                                        int64_t server_ns) const {
  int64_t elapsed = server_ns - registration.server_ns;
  elapsed -= std::abs(elapsed) / kClockRateDivisor;
  // A server can't prove a time that is in the future by this process's clock.
  return std::min(registration.sent_at + runtime::Duration(elapsed), runtime_->clock->Now());
}

void ChannelSubscription::HandleMessage(const runtime::Envelope& envelope,
                                        const ChannelMessage& message) {
  if (!registration_.has_value() || message.registration() != registration_->number ||
      envelope.from_endpoint() != registration_->server) {
    ++stats_.ignored;
    return;
  }
  if (message.server_epoch() != registration_->epoch) {
    ++stats_.epoch_changes;
    DropRegistration();
    return;
  }
  if (message.sequence() < registration_->expected_sequence) {
    ++stats_.ignored;
    return;
  }
  if (message.sequence() > registration_->expected_sequence) {
    ++stats_.gaps;
    DropRegistration();
    return;
  }
  ++stats_.messages;
  registration_->last_received_at = runtime_->clock->Now();
  const runtime::MonotonicTime proven_until = ToLocalTime(*registration_, message.server_ns());
  registration_->proven_until = std::max(registration_->proven_until, proven_until);
  if (message.objects_size() > 0) ApplyInvalidation(message);
  observer_->OnRenewed(channel_);
}

void ChannelSubscription::ApplyInvalidation(const ChannelMessage& message) {
  ++registration_->expected_sequence;
  objects_.Apply(message.objects());
  SendAck(message);
  std::vector<std::string> changed;
  for (const ObjectState& state : message.objects()) changed.push_back(state.object());
  observer_->OnObjectsChanged(channel_, changed);
}

void ChannelSubscription::SendAck(const ChannelMessage& message) {
  ChannelEnvelope envelope;
  ChannelAck* ack = envelope.mutable_ack();
  ack->set_channel(channel_);
  ack->set_registration(message.registration());
  ack->set_server_epoch(message.server_epoch());
  ack->set_sequence(message.sequence());
  SendEnvelope(registration_->server, envelope);
}

void ChannelSubscription::DropRegistration() {
  if (registration_.has_value()) server_selector_.OnRegistrationLost(registration_->server);
  registration_.reset();
  heartbeat_timeout_timer_.Cancel();
  Register();
  observer_->OnLost(channel_);
}

runtime::MonotonicTime ChannelSubscription::HeartbeatDeadline() const {
  return std::min(registration_->last_received_at + kMaxMissedHeartbeats * registration_->heartbeat,
                  registration_->expires_at);
}

void ChannelSubscription::CheckHeartbeatTimeout() {
  if (!registration_.has_value()) return;
  const runtime::MonotonicTime now = runtime_->clock->Now();
  const runtime::MonotonicTime deadline = HeartbeatDeadline();
  if (now >= deadline) {
    ++stats_.heartbeat_timeouts;
    DropRegistration();
    return;
  }
  heartbeat_timeout_timer_.Start(deadline - now, [this] { CheckHeartbeatTimeout(); });
}

bool ChannelSubscription::IsLive() const {
  return registration_.has_value() && runtime_->clock->Now() < HeartbeatDeadline();
}

runtime::MonotonicTime ChannelSubscription::proven_until() const {
  return registration_.has_value() ? registration_->proven_until : runtime::MonotonicTime::min();
}

const std::string& ChannelSubscription::server() const {
  static const std::string* const none = new std::string();
  return registration_.has_value() ? registration_->server : *none;
}

bool ChannelSubscription::CurrentVersion(const std::string& object, ObjectVersion* version) const {
  if (!IsLive()) return false;
  const SubscribedObjects::Object* found = objects_.FindCovered(object);
  if (found == nullptr) return false;
  if (runtime_->clock->Now() >= registration_->proven_until + found->guarantee) return false;
  *version = found->version;
  return true;
}

bool ChannelSubscription::IsFresh(const std::string& object, const ObjectVersion& version) const {
  ObjectVersion newest;
  return CurrentVersion(object, &newest) && CompareVersions(newest, version) == 0;
}

bool ChannelSubscription::Find(const std::string& object, ObjectVersion* version) const {
  const SubscribedObjects::Object* found = objects_.FindCovered(object);
  if (found == nullptr) return false;
  *version = found->version;
  return true;
}

void ChannelSubscription::Include(const std::string& object) {
  if (!targets_.insert(object).second) return;
  increment_include_.insert(object);
  increment_exclude_.erase(object);
  SendIncrement();
}

void ChannelSubscription::Exclude(const std::string& object) {
  if (targets_.erase(object) == 0) return;
  increment_exclude_.insert(object);
  increment_include_.erase(object);
  objects_.MarkNotCovered(object);
  SendIncrement();
}

void ChannelSubscription::SendIncrement() {
  // If not registered, an attempt in flight is replaced by one with the complete list; otherwise
  // the next attempt carries it.
  if (!registration_.has_value()) {
    if (attempt_.has_value()) Register();
    return;
  }
  ChannelEnvelope envelope;
  RegistrationRequest* request = envelope.mutable_request();
  request->set_channel(channel_);
  request->set_registration(registration_->number);
  request->set_base(RegistrationRequest::INCREMENT);
  request->set_increment(++last_increment_number_);
  for (const std::string& object : increment_include_) {
    request->add_include()->set_object(object);
  }
  for (const std::string& object : increment_exclude_) request->add_exclude(object);
  SendEnvelope(registration_->server, envelope);
  increment_timer_.Start(options_.response_timeout, [this] { Register(); });
}

void ChannelSubscription::ApplyIncrementResponse(const RegistrationResponse& response) {
  if (response.increment() != last_increment_number_) {
    ++stats_.ignored;
    return;
  }
  increment_timer_.Cancel();
  if (response.status() != RegistrationResponse::OK ||
      response.server_epoch() != registration_->epoch ||
      response.next_sequence() != registration_->expected_sequence) {
    DropRegistration();
    return;
  }
  objects_.Apply(response.objects());
  increment_include_.clear();
  increment_exclude_.clear();
}

}  // namespace posthatch::invalidation
