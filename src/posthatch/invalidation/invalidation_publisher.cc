#include "posthatch/invalidation/invalidation_publisher.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "posthatch/invalidation/channel_names.h"
#include "posthatch/invalidation/object_states.h"
#include "posthatch/invalidation/wire_duration.h"

namespace posthatch::invalidation {
namespace {

// The committed heartbeat is at most 1/kHeartbeatsPerGuarantee of the lowest guarantee
// (WCIP 5.2.4), so that one or two delayed heartbeats do not expire any object.
constexpr int kHeartbeatsPerGuarantee = 3;
constexpr runtime::Duration kMinHeartbeat = std::chrono::milliseconds(50);

runtime::Duration CommittedHeartbeat(const PublisherOptions& options,
                                     const RegistrationRequest& request) {
  runtime::Duration heartbeat = options.heartbeat;
  if (request.heartbeat_ms() > 0) {
    heartbeat = std::min(heartbeat, FromWireMilliseconds(request.heartbeat_ms()));
  }
  heartbeat = std::min(heartbeat, LowestGuarantee(request.channel()) / kHeartbeatsPerGuarantee);
  return std::max(heartbeat, kMinHeartbeat);
}

// Applies the changes that an increment makes to the objects of a registration.
void ApplyIncrement(const RegistrationRequest& request, Registration* registration) {
  const auto set_covered = [registration](const std::string& object, bool covered) {
    if (covered == registration->all_objects) {
      registration->listed_objects.erase(object);
    } else {
      registration->listed_objects.insert(object);
    }
  };
  for (const auto& object : request.include()) set_covered(object.object(), true);
  for (const auto& object : request.exclude()) set_covered(object, false);
}

}  // namespace

InvalidationPublisher::InvalidationPublisher(runtime::Runtime* runtime, PublisherOptions options,
                                             PublisherSource* source)
    : runtime_(runtime),
      options_(options),
      source_(source),
      batch_timer_(runtime->timers),
      heartbeat_timer_(runtime->timers) {}

void InvalidationPublisher::HandleEnvelope(const runtime::Envelope& envelope,
                                           const ChannelEnvelope& content) {
  if (content.has_request()) HandleRequest(envelope, content.request());
  // Acknowledgements (WCIP 5.3.1) only keep the connection's other direction in use: a subscriber
  // detects lost messages by its own sequence check.
}

void InvalidationPublisher::HandleRequest(const runtime::Envelope& envelope,
                                          const RegistrationRequest& request) {
  const PublisherProof proof = source_->CurrentProof(request.channel());
  if (!IsChannel(request.channel()) || !proof.live) {
    ++stats_.registrations_refused;
    RespondWithoutObjects(envelope, request, RegistrationResponse::REFUSED, "");
    return;
  }
  if (request.base() == RegistrationRequest::INCREMENT) {
    HandleIncrement(envelope, request, proof);
    return;
  }
  const Registration* existing = registrations_.Find(request.channel(), envelope.from_endpoint());
  // A duplicate or reordered request is ignored: a second response would restart the sequence while
  // messages of the first registration are in flight.
  if (existing != nullptr && existing->incarnation == envelope.from_incarnation() &&
      existing->epoch == proof.epoch && request.registration() <= existing->number) {
    return;
  }
  const std::string relay = ChooseRelay(request, envelope.from_endpoint());
  if (!relay.empty()) {
    ++stats_.redirected;
    RespondWithoutObjects(envelope, request, RegistrationResponse::REDIRECT, relay);
    return;
  }
  Grant(envelope, request, proof);
}

std::string InvalidationPublisher::ChooseRelay(const RegistrationRequest& request,
                                               const std::string& endpoint) const {
  if (request.relay()) return "";
  if (registrations_.CountByChannel(request.channel()) < options_.max_direct_registrations) {
    return "";
  }
  const auto& avoid = request.avoid();
  std::vector<std::string> relays;
  for (const Registration* candidate : registrations_.FindByChannel(request.channel())) {
    if (!candidate->relay || candidate->zone != request.zone()) continue;
    if (candidate->endpoint == endpoint) continue;
    if (std::find(avoid.begin(), avoid.end(), candidate->endpoint) != avoid.end()) continue;
    relays.push_back(candidate->endpoint);
  }
  if (relays.empty()) return "";
  return relays[runtime_->random->Uniform(relays.size())];
}

void InvalidationPublisher::Grant(const runtime::Envelope& envelope,
                                  const RegistrationRequest& request, const PublisherProof& proof) {
  Flush();
  registrations_.Erase(request.channel(), envelope.from_endpoint());
  runtime::Duration lifetime =
      std::min(FromWireMilliseconds(request.lifetime_ms()), options_.max_lifetime);
  if (registrations_.size() >= options_.max_registrations) lifetime = {};
  const runtime::Duration heartbeat = CommittedHeartbeat(options_, request);
  SendGrant(envelope.from_endpoint(), request, proof, lifetime, heartbeat);
  if (lifetime <= runtime::Duration::zero()) {
    ++stats_.volume_validations;
    return;
  }
  ++stats_.registrations_granted;
  AddRegistration(envelope, request, proof, lifetime, heartbeat);
}

void InvalidationPublisher::SendGrant(const std::string& endpoint,
                                      const RegistrationRequest& request,
                                      const PublisherProof& proof, runtime::Duration lifetime,
                                      runtime::Duration heartbeat) {
  ChannelEnvelope reply;
  RegistrationResponse* response = reply.mutable_response();
  response->set_channel(request.channel());
  response->set_registration(request.registration());
  response->set_status(RegistrationResponse::OK);
  response->set_server_epoch(proof.epoch);
  response->set_request_sent_ns(request.sent_ns());
  response->set_server_ns(runtime::ToNanoseconds(runtime_->clock->Now()));
  response->set_proven_ns(runtime::ToNanoseconds(proof.proven_until));
  response->set_lifetime_ms(ToWireMilliseconds(lifetime));
  response->set_heartbeat_ms(ToWireMilliseconds(heartbeat));
  response->set_next_sequence(1);
  AddRequestedStates(*source_, request, response);
  SendEnvelope(endpoint, reply);
}

void InvalidationPublisher::AddRegistration(const runtime::Envelope& envelope,
                                            const RegistrationRequest& request,
                                            const PublisherProof& proof, runtime::Duration lifetime,
                                            runtime::Duration heartbeat) {
  auto registration = std::make_unique<Registration>();
  registration->endpoint = envelope.from_endpoint();
  registration->channel = request.channel();
  registration->zone = request.zone();
  registration->incarnation = envelope.from_incarnation();
  registration->number = request.registration();
  registration->epoch = proof.epoch;
  registration->relay = request.relay();
  registration->all_objects = request.base() == RegistrationRequest::INCLUDE_ALL;
  if (registration->all_objects) {
    registration->listed_objects.insert(request.exclude().begin(), request.exclude().end());
  } else {
    for (const auto& object : request.include()) {
      registration->listed_objects.insert(object.object());
    }
  }
  registration->heartbeat = heartbeat;
  const runtime::MonotonicTime now = runtime_->clock->Now();
  registration->expires_at = now + lifetime;
  registration->next_heartbeat_at = now + heartbeat;
  registrations_.Add(std::move(registration));
  ScheduleHeartbeatTimer();
}

void InvalidationPublisher::HandleIncrement(const runtime::Envelope& envelope,
                                            const RegistrationRequest& request,
                                            const PublisherProof& proof) {
  Registration* registration = registrations_.Find(request.channel(), envelope.from_endpoint());
  if (registration == nullptr || registration->number != request.registration() ||
      registration->incarnation != envelope.from_incarnation() ||
      registration->epoch != proof.epoch || registration->expires_at <= runtime_->clock->Now()) {
    RespondWithoutObjects(envelope, request, RegistrationResponse::REFUSED, "");
    return;
  }
  Flush();
  ApplyIncrement(request, registration);
  ChannelEnvelope reply;
  RegistrationResponse* response = reply.mutable_response();
  response->set_channel(request.channel());
  response->set_registration(request.registration());
  response->set_increment(request.increment());
  response->set_status(RegistrationResponse::OK);
  response->set_server_epoch(proof.epoch);
  // No proven_ns: only channel messages renew trust in the objects registered before.
  response->set_next_sequence(registration->next_sequence);
  AddRequestedStates(*source_, request, response);
  SendEnvelope(envelope.from_endpoint(), reply);
}

void InvalidationPublisher::RespondWithoutObjects(const runtime::Envelope& envelope,
                                                  const RegistrationRequest& request,
                                                  RegistrationResponse::Status status,
                                                  const std::string& redirect_to) {
  ChannelEnvelope reply;
  RegistrationResponse* response = reply.mutable_response();
  response->set_channel(request.channel());
  response->set_registration(request.registration());
  response->set_increment(request.increment());
  response->set_status(status);
  response->set_redirect_to(redirect_to);
  response->set_request_sent_ns(request.sent_ns());
  SendEnvelope(envelope.from_endpoint(), reply);
}

void InvalidationPublisher::OnObjectChanged(const std::string& object) {
  const std::string channel = ChannelOf(object);
  if (channel.empty()) return;
  pending_objects_[channel].insert(object);
  pending_objects_[kAggregateChannel].insert(object);
  if (!batch_timer_.running()) batch_timer_.Start(BatchPeriod(), [this] { Flush(); });
}

runtime::Duration InvalidationPublisher::BatchPeriod() const {
  const double seconds = static_cast<double>(registrations_.size()) / options_.messages_per_second;
  return std::max(options_.batch_period, std::chrono::duration_cast<runtime::Duration>(
                                             std::chrono::duration<double>(seconds)));
}

void InvalidationPublisher::Flush() {
  batch_timer_.Cancel();
  for (auto it = pending_objects_.begin(); it != pending_objects_.end();) {
    if (registrations_.CountByChannel(it->first) == 0) {
      it = pending_objects_.erase(it);  // a later registration gets the newest versions anyway
      continue;
    }
    const PublisherProof proof = source_->CurrentProof(it->first);
    if (!proof.live) {
      ++it;
      continue;
    }
    FlushChannel(it->first, proof, {it->second.begin(), it->second.end()});
    it = pending_objects_.erase(it);
  }
}

void InvalidationPublisher::FlushChannel(const std::string& channel, const PublisherProof& proof,
                                         const std::vector<std::string>& objects) {
  std::vector<ObjectState> states;
  states.reserve(objects.size());
  for (const std::string& object : objects) {
    states.push_back(ChangedState(*source_, channel, object));
  }
  const runtime::MonotonicTime now = runtime_->clock->Now();
  for (Registration* registration : registrations_.FindByChannel(channel)) {
    if (registration->epoch != proof.epoch || registration->expires_at <= now) continue;
    std::vector<ObjectState> covered_states;
    for (const ObjectState& state : states) {
      if (registration->Covers(state.object())) covered_states.push_back(state);
    }
    if (!covered_states.empty())
      SendMessage(registration, proof.proven_until, std::move(covered_states));
  }
}

void InvalidationPublisher::ExcludeObjects(const std::string& channel,
                                           const std::vector<std::string>& objects,
                                           runtime::MonotonicTime proven_until) {
  const runtime::MonotonicTime now = runtime_->clock->Now();
  for (Registration* registration : registrations_.FindByChannel(channel)) {
    if (registration->expires_at <= now) continue;
    std::vector<ObjectState> states;
    for (const std::string& object : objects) {
      if (registration->Covers(object)) states.push_back(ExcludedState(object));
    }
    if (!states.empty()) SendMessage(registration, proven_until, std::move(states));
  }
}

void InvalidationPublisher::Renew(const std::string& channel) {
  Flush();
  const PublisherProof proof = source_->CurrentProof(channel);
  if (!proof.live || pending_objects_.contains(channel)) return;
  const runtime::MonotonicTime now = runtime_->clock->Now();
  for (Registration* registration : registrations_.FindByChannel(channel)) {
    if (registration->epoch != proof.epoch || registration->expires_at <= now) continue;
    SendHeartbeat(registration, proof);
  }
}

void InvalidationPublisher::SendHeartbeat(Registration* registration, const PublisherProof& proof) {
  ++stats_.heartbeats_sent;
  SendMessage(registration, proof.proven_until, {});
}

void InvalidationPublisher::SendMessage(Registration* registration,
                                        runtime::MonotonicTime proven_until,
                                        std::vector<ObjectState> objects) {
  const runtime::MonotonicTime now = runtime_->clock->Now();
  ChannelEnvelope envelope;
  ChannelMessage* message = envelope.mutable_message();
  message->set_channel(registration->channel);
  message->set_registration(registration->number);
  message->set_server_epoch(registration->epoch);
  message->set_sequence(registration->next_sequence);
  message->set_server_ns(runtime::ToNanoseconds(proven_until));
  message->set_remaining_lifetime_ms(ToWireMilliseconds(registration->expires_at - now));
  if (!objects.empty()) {
    ++registration->next_sequence;
    ++stats_.invalidation_messages_sent;
    stats_.objects_sent += objects.size();
    for (ObjectState& state : objects) *message->add_objects() = std::move(state);
  }
  SendEnvelope(registration->endpoint, envelope);
  registrations_.ScheduleHeartbeat(registration, now + registration->heartbeat);
}

void InvalidationPublisher::SendEnvelope(const std::string& endpoint,
                                         const ChannelEnvelope& envelope) {
  runtime_->transport->Send(endpoint, runtime::SERVICE_CHANNELS, envelope.SerializeAsString(),
                            runtime::Delivery::kStream);
}

void InvalidationPublisher::ScheduleHeartbeatTimer() {
  const Registration* next = registrations_.NextHeartbeat();
  if (next == nullptr) {
    heartbeat_timer_.Cancel();
    return;
  }
  const runtime::Duration wait =
      std::max(next->next_heartbeat_at - runtime_->clock->Now(), runtime::Duration::zero());
  heartbeat_timer_.Start(wait, [this] { SendHeartbeatsAndRemoveExpired(); });
}

void InvalidationPublisher::SendHeartbeatsAndRemoveExpired() {
  // Flushes first, since a heartbeat must not overtake an earlier invalidation (WCIP 3.2).
  Flush();
  const runtime::MonotonicTime now = runtime_->clock->Now();
  while (Registration* registration = registrations_.NextHeartbeat()) {
    if (registration->next_heartbeat_at > now) break;
    const PublisherProof proof = source_->CurrentProof(registration->channel);
    if (registration->expires_at <= now || (proof.live && proof.epoch != registration->epoch)) {
      ++stats_.expired;
      // Passes copies, since Erase destroys the registration that owns the strings.
      registrations_.Erase(std::string(registration->channel), std::string(registration->endpoint));
    } else if (!proof.live || pending_objects_.contains(registration->channel)) {
      registrations_.ScheduleHeartbeat(registration, now + registration->heartbeat);
    } else {
      SendHeartbeat(registration, proof);
    }
  }
  ScheduleHeartbeatTimer();
}

}  // namespace posthatch::invalidation
