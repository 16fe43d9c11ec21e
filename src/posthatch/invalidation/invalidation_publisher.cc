#include "posthatch/invalidation/invalidation_publisher.h"

#include <algorithm>

#include "posthatch/invalidation/channel_names.h"

namespace posthatch::invalidation {
namespace {

// A heartbeat is committed to at most this part of the lowest guarantee (WCIP 5.2.4), so that one
// or two late ones expire nothing.
constexpr int kHeartbeatsPerGuarantee = 3;
constexpr runtime::Duration kMinHeartbeat = std::chrono::milliseconds(50);

uint32_t Milliseconds(runtime::Duration duration) {
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  return static_cast<uint32_t>(std::max<int64_t>(milliseconds, 0));
}

runtime::Duration CommittedHeartbeat(const PublisherOptions& options,
                                     const RegistrationRequest& request) {
  runtime::Duration heartbeat = options.heartbeat;
  if (request.heartbeat_ms() > 0) {
    heartbeat =
        std::min<runtime::Duration>(heartbeat, std::chrono::milliseconds(request.heartbeat_ms()));
  }
  heartbeat = std::min(heartbeat, LowestGuarantee(request.channel()) / kHeartbeatsPerGuarantee);
  return std::max(heartbeat, kMinHeartbeat);
}

}  // namespace

InvalidationPublisher::InvalidationPublisher(runtime::Runtime* runtime, PublisherOptions options,
                                             PublisherSource* source)
    : runtime_(runtime),
      options_(options),
      source_(source),
      batch_timer_(runtime->timers),
      tick_timer_(runtime->timers) {}

void InvalidationPublisher::HandleEnvelope(const runtime::Envelope& envelope,
                                           const ChannelEnvelope& content) {
  if (content.has_request()) HandleRequest(envelope, content.request());
  // Acknowledgements (WCIP 5.3.1) only keep the connection's other direction in use: what a
  // subscriber has seen is proved by its own sequence check.
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
  const auto found = registrations_.find(Key(request.channel(), envelope.from_endpoint()));
  if (found != registrations_.end()) {
    const Registration& known = *found->second;
    // A doubled or overtaken request. Answering it again would start its sequence anew while
    // messages of the first answer are under way.
    if (known.incarnation == envelope.from_incarnation() && known.epoch == proof.epoch &&
        request.registration() <= known.number) {
      return;
    }
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
  const auto count = registrations_by_channel_.find(request.channel());
  if (count == registrations_by_channel_.end()) return "";
  if (count->second < options_.max_direct_registrations) return "";
  std::vector<std::string> relays;
  for (auto it = registrations_.lower_bound(Key(request.channel(), ""));
       it != registrations_.end() && it->first.first == request.channel(); ++it) {
    const Registration& candidate = *it->second;
    if (!candidate.relay || candidate.zone != request.zone()) continue;
    if (candidate.endpoint == endpoint) continue;
    const auto& avoid = request.avoid();
    if (std::find(avoid.begin(), avoid.end(), candidate.endpoint) != avoid.end()) continue;
    relays.push_back(candidate.endpoint);
  }
  if (relays.empty()) return "";
  return relays[runtime_->random->Uniform(relays.size())];
}

void InvalidationPublisher::Grant(const runtime::Envelope& envelope,
                                  const RegistrationRequest& request, const PublisherProof& proof) {
  Flush();
  const Key key(request.channel(), envelope.from_endpoint());
  Erase(key);
  runtime::Duration lifetime = std::min<runtime::Duration>(
      std::chrono::milliseconds(request.lifetime_ms()), options_.max_lifetime);
  if (registrations_.size() >= options_.max_registrations) lifetime = {};
  const runtime::Duration heartbeat = CommittedHeartbeat(options_, request);

  ChannelEnvelope reply;
  RegistrationResponse* response = reply.mutable_response();
  response->set_channel(request.channel());
  response->set_registration(request.registration());
  response->set_status(RegistrationResponse::OK);
  response->set_server_epoch(proof.epoch);
  response->set_request_sent_ns(request.sent_ns());
  response->set_server_ns(runtime::ToNanoseconds(runtime_->clock->Now()));
  response->set_proven_ns(runtime::ToNanoseconds(proof.proven));
  response->set_lifetime_ms(Milliseconds(lifetime));
  response->set_heartbeat_ms(Milliseconds(heartbeat));
  response->set_next_sequence(1);
  FillObjects(request, response);
  SendEnvelope(envelope.from_endpoint(), reply);

  if (lifetime <= runtime::Duration::zero()) {
    ++stats_.volume_validations;
    return;
  }
  ++stats_.registrations_granted;
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
    for (const auto& object : request.include())
      registration->listed_objects.insert(object.object());
  }
  registration->heartbeat = heartbeat;
  const runtime::MonotonicTime now = runtime_->clock->Now();
  registration->expires_at = now + lifetime;
  Registration* const added = registration.get();
  registrations_[key] = std::move(registration);
  ++registrations_by_channel_[request.channel()];
  ScheduleHeartbeat(added, now + heartbeat);
  StartTicking();
}

void InvalidationPublisher::FillObjects(const RegistrationRequest& request,
                                        RegistrationResponse* response) const {
  absl::flat_hash_map<std::string, ObjectVersion> subscriber_versions;
  for (const auto& object : request.include())
    subscriber_versions[object.object()] = object.version();
  const absl::flat_hash_set<std::string> excluded(request.exclude().begin(),
                                                  request.exclude().end());
  const auto classify = [&subscriber_versions](const std::string& object,
                                               const ObjectVersion& newest) {
    const auto found = subscriber_versions.find(object);
    if (found == subscriber_versions.end()) return UNKNOWN;
    const int comparison = CompareVersions(found->second, newest);
    if (comparison == 0) return FRESH;
    return comparison < 0 ? STALE : UNKNOWN;
  };
  const auto add = [response](const std::string& object, const ObjectVersion& version,
                              Freshness freshness) {
    ObjectState* state = response->add_objects();
    state->set_object(object);
    *state->mutable_version() = version;
    state->set_freshness(freshness);
    state->set_guarantee_ms(Milliseconds(GuaranteeOf(object)));
  };
  if (request.base() == RegistrationRequest::INCLUDE_ALL) {
    for (const auto& object : source_->Objects(request.channel())) {
      if (excluded.contains(object.object())) continue;
      add(object.object(), object.version(), classify(object.object(), object.version()));
      subscriber_versions.erase(object.object());
    }
  }
  for (const auto& object : request.include()) {
    if (!subscriber_versions.contains(object.object())) continue;  // said above
    ObjectVersion newest;
    if (source_->Find(request.channel(), object.object(), &newest)) {
      add(object.object(), newest, classify(object.object(), newest));
    } else {
      add(object.object(), ObjectVersion(), EXCLUDED);
    }
  }
}

void InvalidationPublisher::HandleIncrement(const runtime::Envelope& envelope,
                                            const RegistrationRequest& request,
                                            const PublisherProof& proof) {
  const auto found = registrations_.find(Key(request.channel(), envelope.from_endpoint()));
  if (found == registrations_.end() || found->second->number != request.registration() ||
      found->second->incarnation != envelope.from_incarnation() ||
      found->second->epoch != proof.epoch || found->second->expires_at <= runtime_->clock->Now()) {
    RespondWithoutObjects(envelope, request, RegistrationResponse::REFUSED, "");
    return;
  }
  Flush();
  Registration* registration = found->second.get();
  for (const auto& object : request.include()) {
    if (registration->all_objects) {
      registration->listed_objects.erase(object.object());
    } else {
      registration->listed_objects.insert(object.object());
    }
  }
  for (const auto& object : request.exclude()) {
    if (registration->all_objects) {
      registration->listed_objects.insert(object);
    } else {
      registration->listed_objects.erase(object);
    }
  }
  ChannelEnvelope reply;
  RegistrationResponse* response = reply.mutable_response();
  response->set_channel(request.channel());
  response->set_registration(request.registration());
  response->set_increment(request.increment());
  response->set_status(RegistrationResponse::OK);
  response->set_server_epoch(proof.epoch);
  // Proves nothing about the objects registered before: only channel messages renew trust.
  response->set_next_sequence(registration->next_sequence);
  FillObjects(request, response);
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

void InvalidationPublisher::ObjectChanged(const std::string& object) {
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
    if (!registrations_by_channel_.contains(it->first)) {
      it = pending_objects_.erase(
          it);  // nobody to tell; a later registration gets the newest versions
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
  for (const std::string& object : objects) states.push_back(StateOf(channel, object));
  const runtime::MonotonicTime now = runtime_->clock->Now();
  for (auto it = registrations_.lower_bound(Key(channel, ""));
       it != registrations_.end() && it->first.first == channel; ++it) {
    Registration* registration = it->second.get();
    if (registration->epoch != proof.epoch || registration->expires_at <= now) continue;
    std::vector<ObjectState> covered_states;
    for (const ObjectState& state : states) {
      if (registration->Covers(state.object())) covered_states.push_back(state);
    }
    if (!covered_states.empty()) SendMessage(registration, proof.proven, std::move(covered_states));
  }
}

ObjectState InvalidationPublisher::StateOf(const std::string& channel,
                                           const std::string& object) const {
  ObjectState state;
  state.set_object(object);
  ObjectVersion version;
  if (source_->Find(channel, object, &version)) {
    *state.mutable_version() = version;
    state.set_freshness(STALE);
    state.set_guarantee_ms(Milliseconds(GuaranteeOf(object)));
  } else {
    state.set_freshness(EXCLUDED);
  }
  return state;
}

void InvalidationPublisher::ExcludeObjects(const std::string& channel,
                                           const std::vector<std::string>& objects,
                                           runtime::MonotonicTime proven) {
  const runtime::MonotonicTime now = runtime_->clock->Now();
  for (auto it = registrations_.lower_bound(Key(channel, ""));
       it != registrations_.end() && it->first.first == channel; ++it) {
    Registration* registration = it->second.get();
    if (registration->expires_at <= now) continue;
    std::vector<ObjectState> states;
    for (const std::string& object : objects) {
      if (!registration->Covers(object)) continue;
      ObjectState& state = states.emplace_back();
      state.set_object(object);
      state.set_freshness(EXCLUDED);
    }
    if (!states.empty()) SendMessage(registration, proven, std::move(states));
  }
}

void InvalidationPublisher::Renew(const std::string& channel) {
  Flush();
  const PublisherProof proof = source_->CurrentProof(channel);
  if (!proof.live || pending_objects_.contains(channel)) return;
  const runtime::MonotonicTime now = runtime_->clock->Now();
  for (auto it = registrations_.lower_bound(Key(channel, ""));
       it != registrations_.end() && it->first.first == channel; ++it) {
    Registration* registration = it->second.get();
    if (registration->epoch != proof.epoch || registration->expires_at <= now) continue;
    SendHeartbeat(registration, proof);
  }
}

void InvalidationPublisher::SendHeartbeat(Registration* registration, const PublisherProof& proof) {
  ++stats_.heartbeats_sent;
  SendMessage(registration, proof.proven, {});
}

void InvalidationPublisher::SendMessage(Registration* registration, runtime::MonotonicTime proven,
                                        std::vector<ObjectState> objects) {
  const runtime::MonotonicTime now = runtime_->clock->Now();
  ChannelEnvelope envelope;
  ChannelMessage* message = envelope.mutable_message();
  message->set_channel(registration->channel);
  message->set_registration(registration->number);
  message->set_server_epoch(registration->epoch);
  message->set_sequence(registration->next_sequence);
  message->set_server_ns(runtime::ToNanoseconds(proven));
  message->set_remaining_lifetime_ms(Milliseconds(registration->expires_at - now));
  if (!objects.empty()) {
    ++registration->next_sequence;
    ++stats_.invalidation_messages_sent;
    stats_.objects_sent += objects.size();
    for (ObjectState& state : objects) *message->add_objects() = std::move(state);
  }
  SendEnvelope(registration->endpoint, envelope);
  ScheduleHeartbeat(registration, now + registration->heartbeat);
}

void InvalidationPublisher::SendEnvelope(const std::string& endpoint,
                                         const ChannelEnvelope& envelope) {
  runtime_->transport->Send(endpoint, runtime::SERVICE_CHANNELS, envelope.SerializeAsString(),
                            runtime::Delivery::kStream);
}

void InvalidationPublisher::ScheduleHeartbeat(Registration* registration,
                                              runtime::MonotonicTime next_heartbeat_at) {
  const Key key(registration->channel, registration->endpoint);
  heartbeat_schedule_.erase({registration->next_heartbeat_at, key});
  registration->next_heartbeat_at = next_heartbeat_at;
  heartbeat_schedule_.insert({next_heartbeat_at, key});
}

void InvalidationPublisher::Erase(const Key& key) {
  const auto found = registrations_.find(key);
  if (found == registrations_.end()) return;
  heartbeat_schedule_.erase({found->second->next_heartbeat_at, key});
  const auto count = registrations_by_channel_.find(key.first);
  if (--count->second == 0) registrations_by_channel_.erase(count);
  registrations_.erase(found);
}

void InvalidationPublisher::StartTicking() {
  if (heartbeat_schedule_.empty()) {
    tick_timer_.Cancel();
    return;
  }
  const runtime::MonotonicTime now = runtime_->clock->Now();
  const runtime::Duration wait =
      std::max(heartbeat_schedule_.begin()->first - now, runtime::Duration::zero());
  tick_timer_.Start(wait, [this] { Tick(); });
}

void InvalidationPublisher::Tick() {
  // What waits goes first: a heartbeat never overtakes an earlier invalidation (WCIP 3.2).
  Flush();
  const runtime::MonotonicTime now = runtime_->clock->Now();
  while (!heartbeat_schedule_.empty() && heartbeat_schedule_.begin()->first <= now) {
    const Key key = heartbeat_schedule_.begin()->second;
    Registration* registration = registrations_.find(key)->second.get();
    const PublisherProof proof = source_->CurrentProof(key.first);
    if (registration->expires_at <= now || (proof.live && proof.epoch != registration->epoch)) {
      ++stats_.expired;
      Erase(key);
    } else if (!proof.live || pending_objects_.contains(key.first)) {
      ScheduleHeartbeat(registration, now + registration->heartbeat);
    } else {
      SendHeartbeat(registration, proof);
    }
  }
  StartTicking();
}

}  // namespace posthatch::invalidation
