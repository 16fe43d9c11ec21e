#include "posthatch/invalidation/channel_subscription.h"

#include <algorithm>

#include "posthatch/invalidation/channel_names.h"

namespace posthatch::invalidation {
namespace {

// A channel that was silent for this many heartbeats counts as broken.
constexpr int kMaxMissedHeartbeats = 2;
constexpr int kMaxRedirections = 3;
// How long a relay point that fell silent is not used.
constexpr runtime::Duration kRelayAvoidance = std::chrono::seconds(30);
// Two machines' clocks may differ in rate by up to this part of the elapsed time.
constexpr int64_t kClockRateDivisor = 1000;
// Registration numbers start at a random 48-bit number, so that messages of an earlier life of
// this process are never taken for its own.
constexpr int kRegistrationNumberShift = 16;

runtime::Duration FromMilliseconds(uint32_t milliseconds) {
  return std::chrono::milliseconds(milliseconds);
}

uint32_t ToWireMilliseconds(runtime::Duration duration) {
  return static_cast<uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace

ChannelSubscription::ChannelSubscription(runtime::Runtime* runtime, SubscriptionOptions options,
                                         std::string channel, Endpoints endpoints,
                                         Observer observer)
    : runtime_(runtime),
      options_(std::move(options)),
      channel_(std::move(channel)),
      endpoints_(std::move(endpoints)),
      observer_(std::move(observer)),
      last_registration_number_((*runtime->random)() >> kRegistrationNumberShift),
      response_timer_(runtime->timers),
      renewal_timer_(runtime->timers),
      heartbeat_timeout_timer_(runtime->timers),
      increment_timer_(runtime->timers) {}

void ChannelSubscription::Start() { Register(); }

std::string ChannelSubscription::ChooseServer() {
  if (!redirected_to_.empty()) return redirected_to_;
  const std::vector<std::string> endpoints = endpoints_();
  if (endpoints.empty()) return "";
  return endpoints[server_index_ % endpoints.size()];
}

void ChannelSubscription::Register() {
  renewal_timer_.Cancel();
  const std::string server = ChooseServer();
  attempt_.reset();
  response_timer_.Start(options_.response_timeout, [this] { OnResponseTimeout(); });
  if (server.empty()) return;

  ChannelEnvelope envelope;
  RegistrationRequest* request = envelope.mutable_request();
  request->set_channel(channel_);
  request->set_registration(++last_registration_number_);
  request->set_lifetime_ms(ToWireMilliseconds(options_.lifetime));
  request->set_heartbeat_ms(ToWireMilliseconds(options_.heartbeat));
  request->set_zone(options_.zone);
  request->set_relay(options_.relay);
  request->set_redirected_from(redirected_from_);
  const runtime::MonotonicTime now = runtime_->clock->Now();
  for (const auto& [endpoint, until] : avoided_) {
    if (now < until) request->add_avoid(endpoint);
  }
  request->set_base(options_.targeted ? RegistrationRequest::EXCLUDE_ALL
                                      : RegistrationRequest::INCLUDE_ALL);
  // The whole channel is answered with all versions anyway, so held ones are listed only in
  // targeted service.
  for (const std::string& target : targets_) {
    RegisteredObject* included = request->add_include();
    included->set_object(target);
    const auto found = objects_.find(target);
    if (found != objects_.end()) *included->mutable_version() = found->second.version;
  }
  increment_include_.clear();
  increment_exclude_.clear();
  increment_timer_.Cancel();
  request->set_sent_ns(runtime::ToNanoseconds(now));
  attempt_ = Attempt{last_registration_number_, server, now};
  ++stats_.requests_sent;
  runtime_->transport->Send(server, runtime::SERVICE_CHANNELS, envelope.SerializeAsString(),
                            runtime::Delivery::kStream);
}

void ChannelSubscription::OnResponseTimeout() {
  if (attempt_.has_value() && !redirected_to_.empty()) AvoidRelay(attempt_->server);
  TryNextServer();
}

void ChannelSubscription::TryNextServer() {
  redirected_to_.clear();
  redirected_from_.clear();
  ++server_index_;
  Register();
}

void ChannelSubscription::AvoidRelay(const std::string& endpoint) {
  avoided_[endpoint] = runtime_->clock->Now() + kRelayAvoidance;
}

void ChannelSubscription::HandleResponse(const runtime::Envelope& envelope,
                                         const RegistrationResponse& response) {
  if (response.increment() != 0) {
    if (registered_.has_value() && response.registration() == registered_->number &&
        envelope.from_endpoint() == registered_->server) {
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
      consecutive_redirections_ = 0;
      ApplyResponse(response);
      return;
    case RegistrationResponse::REDIRECT:
      ++stats_.redirections;
      if (++consecutive_redirections_ > kMaxRedirections) break;
      redirected_from_ = attempt_->server;
      redirected_to_ = response.redirect_to();
      Register();
      return;
    default:
      ++stats_.refusals;
      break;
  }
  if (!redirected_to_.empty()) AvoidRelay(attempt_->server);
  consecutive_redirections_ = 0;
  attempt_.reset();
  response_timer_.Start(options_.retry_delay, [this] { TryNextServer(); });
}

void ChannelSubscription::ApplyResponse(const RegistrationResponse& response) {
  ++stats_.responses;
  response_timer_.Cancel();
  const runtime::MonotonicTime now = runtime_->clock->Now();
  ActiveRegistration registered;
  registered.number = attempt_->number;
  registered.server = attempt_->server;
  registered.epoch = response.server_epoch();
  registered.sent_at = attempt_->sent_at;
  registered.server_ns = response.server_ns();
  registered.expected_sequence = response.next_sequence();
  registered.heartbeat = FromMilliseconds(response.heartbeat_ms());
  const runtime::Duration lifetime = FromMilliseconds(response.lifetime_ms());
  registered.volume_validation = lifetime <= runtime::Duration::zero();
  // With volume validation no message follows: the bound of the objects alone ends the trust.
  registered.expires_at =
      registered.volume_validation ? runtime::MonotonicTime::max() : attempt_->sent_at + lifetime;
  registered.proven = ProvenAt(registered, response.proven_ns());
  registered.last_arrival = now;
  registered_ = registered;
  attempt_.reset();

  for (auto& [name, object] : objects_) object.covered = false;
  ApplyObjects(response.objects());
  const runtime::Duration renewal =
      registered.volume_validation ? registered.heartbeat : lifetime * 2 / 3;
  renewal_timer_.Start(renewal, [this] { Register(); });
  CheckHeartbeatTimeout();
  if (observer_.on_synchronized) observer_.on_synchronized();
}

runtime::MonotonicTime ChannelSubscription::ProvenAt(const ActiveRegistration& registered,
                                                     int64_t server_ns) const {
  int64_t elapsed = server_ns - registered.server_ns;
  elapsed -= std::abs(elapsed) / kClockRateDivisor;
  // A server can't prove what has not happened yet here.
  return std::min(registered.sent_at + runtime::Duration(elapsed), runtime_->clock->Now());
}

void ChannelSubscription::ApplyObjects(
    const google::protobuf::RepeatedPtrField<ObjectState>& states) {
  for (const ObjectState& state : states) {
    Object& object = objects_[state.object()];
    if (state.freshness() == EXCLUDED) {
      object.covered = false;
      continue;
    }
    // Versions never go back: an older one than known is not believed, and nothing is trusted.
    object.covered = CompareVersions(state.version(), object.version) >= 0;
    if (object.covered) object.version = state.version();
    object.guarantee = FromMilliseconds(state.guarantee_ms());
  }
}

void ChannelSubscription::HandleMessage(const runtime::Envelope& envelope,
                                        const ChannelMessage& message) {
  if (!registered_.has_value() || message.registration() != registered_->number ||
      envelope.from_endpoint() != registered_->server) {
    ++stats_.ignored;
    return;
  }
  if (message.server_epoch() != registered_->epoch) {
    ++stats_.epoch_changes;
    DropRegistration();
    return;
  }
  if (message.sequence() < registered_->expected_sequence) {
    ++stats_.ignored;
    return;
  }
  if (message.sequence() > registered_->expected_sequence) {
    ++stats_.gaps;
    DropRegistration();
    return;
  }
  ++stats_.messages;
  registered_->last_arrival = runtime_->clock->Now();
  const runtime::MonotonicTime proven = ProvenAt(*registered_, message.server_ns());
  registered_->proven = std::max(registered_->proven, proven);
  if (message.objects_size() > 0) {
    ++registered_->expected_sequence;
    ApplyObjects(message.objects());
    ChannelEnvelope reply;
    ChannelAck* ack = reply.mutable_ack();
    ack->set_channel(channel_);
    ack->set_registration(message.registration());
    ack->set_server_epoch(message.server_epoch());
    ack->set_sequence(message.sequence());
    runtime_->transport->Send(registered_->server, runtime::SERVICE_CHANNELS,
                              reply.SerializeAsString(), runtime::Delivery::kStream);
    std::vector<std::string> changed;
    for (const ObjectState& state : message.objects()) changed.push_back(state.object());
    if (observer_.on_objects) observer_.on_objects(changed);
  }
  if (observer_.on_renewed) observer_.on_renewed();
}

void ChannelSubscription::DropRegistration() {
  if (registered_.has_value() && registered_->server == redirected_to_) {
    AvoidRelay(redirected_to_);
    redirected_to_.clear();
    redirected_from_.clear();
  }
  registered_.reset();
  heartbeat_timeout_timer_.Cancel();
  Register();
  if (observer_.on_lost) observer_.on_lost();
}

void ChannelSubscription::CheckHeartbeatTimeout() {
  if (!registered_.has_value()) return;
  const runtime::MonotonicTime now = runtime_->clock->Now();
  const runtime::MonotonicTime latest =
      std::min(registered_->last_arrival + kMaxMissedHeartbeats * registered_->heartbeat,
               registered_->expires_at);
  if (now >= latest) {
    ++stats_.heartbeat_timeouts;
    DropRegistration();
    return;
  }
  heartbeat_timeout_timer_.Start(latest - now, [this] { CheckHeartbeatTimeout(); });
}

bool ChannelSubscription::IsLive() const {
  if (!registered_.has_value()) return false;
  const runtime::MonotonicTime now = runtime_->clock->Now();
  return now < registered_->expires_at &&
         now < registered_->last_arrival + kMaxMissedHeartbeats * registered_->heartbeat;
}

runtime::MonotonicTime ChannelSubscription::proven() const {
  return registered_.has_value() ? registered_->proven : runtime::MonotonicTime::min();
}

const std::string& ChannelSubscription::server() const {
  static const std::string* const none = new std::string();
  return registered_.has_value() ? registered_->server : *none;
}

bool ChannelSubscription::CurrentVersion(const std::string& object, ObjectVersion* version) const {
  if (!IsLive()) return false;
  const auto found = objects_.find(object);
  if (found == objects_.end() || !found->second.covered) return false;
  if (runtime_->clock->Now() >= registered_->proven + found->second.guarantee) return false;
  *version = found->second.version;
  return true;
}

bool ChannelSubscription::IsFresh(const std::string& object, const ObjectVersion& version) const {
  ObjectVersion newest;
  return CurrentVersion(object, &newest) && CompareVersions(newest, version) == 0;
}

std::vector<RegisteredObject> ChannelSubscription::Objects() const {
  std::vector<RegisteredObject> covered;
  for (const auto& [name, object] : objects_) {
    if (!object.covered) continue;
    RegisteredObject& entry = covered.emplace_back();
    entry.set_object(name);
    *entry.mutable_version() = object.version;
  }
  std::sort(covered.begin(), covered.end(),
            [](const auto& left, const auto& right) { return left.object() < right.object(); });
  return covered;
}

std::vector<std::string> ChannelSubscription::KnownObjectNames() const {
  std::vector<std::string> names;
  for (const auto& [name, object] : objects_) names.push_back(name);
  std::sort(names.begin(), names.end());
  return names;
}

bool ChannelSubscription::Find(const std::string& object, ObjectVersion* version) const {
  const auto found = objects_.find(object);
  if (found == objects_.end() || !found->second.covered) return false;
  *version = found->second.version;
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
  const auto found = objects_.find(object);
  if (found != objects_.end()) found->second.covered = false;
  SendIncrement();
}

void ChannelSubscription::SendIncrement() {
  // An attempt under way, or the next one, carries the whole list.
  if (!registered_.has_value()) {
    if (attempt_.has_value()) Register();
    return;
  }
  ChannelEnvelope envelope;
  RegistrationRequest* request = envelope.mutable_request();
  request->set_channel(channel_);
  request->set_registration(registered_->number);
  request->set_base(RegistrationRequest::INCREMENT);
  request->set_increment(++increment_);
  for (const std::string& object : increment_include_) {
    request->add_include()->set_object(object);
  }
  for (const std::string& object : increment_exclude_) request->add_exclude(object);
  runtime_->transport->Send(registered_->server, runtime::SERVICE_CHANNELS,
                            envelope.SerializeAsString(), runtime::Delivery::kStream);
  increment_timer_.Start(options_.response_timeout, [this] { Register(); });
}

void ChannelSubscription::ApplyIncrementResponse(const RegistrationResponse& response) {
  if (response.increment() != increment_) {
    ++stats_.ignored;
    return;
  }
  increment_timer_.Cancel();
  if (response.status() != RegistrationResponse::OK ||
      response.server_epoch() != registered_->epoch ||
      response.next_sequence() != registered_->expected_sequence) {
    DropRegistration();
    return;
  }
  ApplyObjects(response.objects());
  increment_include_.clear();
  increment_exclude_.clear();
}

}  // namespace posthatch::invalidation
