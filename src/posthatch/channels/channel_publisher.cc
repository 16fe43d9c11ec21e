#include "posthatch/channels/channel_publisher.h"

#include <algorithm>

#include "posthatch/channels/channel_names.h"

namespace posthatch::channels {
namespace {

// A heartbeat is committed to at most this part of the lowest guarantee (WCIP 5.2.4), so that one
// or two late ones expire nothing.
constexpr int kHeartbeatsPerGuarantee = 3;
constexpr runtime::Duration kShortestHeartbeat = std::chrono::milliseconds(50);

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
  return std::max(heartbeat, kShortestHeartbeat);
}

}  // namespace

ChannelPublisher::ChannelPublisher(runtime::Runtime* runtime, PublisherOptions options,
                                   PublisherSource* source)
    : runtime_(runtime),
      options_(options),
      source_(source),
      batch_timer_(runtime->timers),
      tick_timer_(runtime->timers) {}

void ChannelPublisher::HandleEnvelope(const runtime::Envelope& envelope,
                                      const ChannelEnvelope& content) {
  if (content.has_request()) HandleRequest(envelope, content.request());
  // Acknowledgements (WCIP 5.3.1) only keep the connection's other direction in use: what a
  // subscriber has seen is proved by its own sequence check.
}

void ChannelPublisher::HandleRequest(const runtime::Envelope& envelope,
                                     const RegistrationRequest& request) {
  const PublisherProof proof = source_->Prove(request.channel());
  if (!IsChannel(request.channel()) || !proof.live) {
    ++stats_.registrations_refused;
    AnswerWithoutObjects(envelope, request, RegistrationResponse::REFUSED, "");
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
  const std::string relay = RelayFor(request, envelope.from_endpoint());
  if (!relay.empty()) {
    ++stats_.redirected;
    AnswerWithoutObjects(envelope, request, RegistrationResponse::REDIRECT, relay);
    return;
  }
  Grant(envelope, request, proof);
}

std::string ChannelPublisher::RelayFor(const RegistrationRequest& request,
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

void ChannelPublisher::Grant(const runtime::Envelope& envelope, const RegistrationRequest& request,
                             const PublisherProof& proof) {
  Flush();
  const Key key(request.channel(), envelope.from_endpoint());
  Erase(key);
  runtime::Duration lifetime = std::min<runtime::Duration>(
      std::chrono::milliseconds(request.lifetime_ms()), options_.max_lifetime);
  if (registrations_.size() >= options_.max_registrations) lifetime = {};
  const runtime::Duration heartbeat = CommittedHeartbeat(options_, request);

  ChannelEnvelope answer;
  RegistrationResponse* response = answer.mutable_response();
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
  SendEnvelope(envelope.from_endpoint(), answer);

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
  registration->whole_channel = request.base() == RegistrationRequest::INCLUDE_ALL;
  if (registration->whole_channel) {
    registration->listed.insert(request.exclude().begin(), request.exclude().end());
  } else {
    for (const auto& object : request.include()) registration->listed.insert(object.object());
  }
  registration->heartbeat = heartbeat;
  const runtime::MonotonicTime now = runtime_->clock->Now();
  registration->ends = now + lifetime;
  Registration* const added = registration.get();
  registrations_[key] = std::move(registration);
  ++registrations_by_channel_[request.channel()];
  SetDue(added, now + heartbeat);
  StartTicking();
}

void ChannelPublisher::FillObjects(const RegistrationRequest& request,
                                   RegistrationResponse* response) const {
  absl::flat_hash_map<std::string, ObjectVersion> held;
  for (const auto& object : request.include()) held[object.object()] = object.version();
  const absl::flat_hash_set<std::string> excluded(request.exclude().begin(),
                                                  request.exclude().end());
  const auto judge = [&held](const std::string& object, const ObjectVersion& newest) {
    const auto found = held.find(object);
    if (found == held.end()) return UNKNOWN;
    const int order = CompareVersions(found->second, newest);
    if (order == 0) return FRESH;
    return order < 0 ? STALE : UNKNOWN;
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
      add(object.object(), object.version(), judge(object.object(), object.version()));
      held.erase(object.object());
    }
  }
  for (const auto& object : request.include()) {
    if (!held.contains(object.object())) continue;  // said above
    ObjectVersion newest;
    if (source_->Find(request.channel(), object.object(), &newest)) {
      add(object.object(), newest, judge(object.object(), newest));
    } else {
      add(object.object(), ObjectVersion(), EXCLUDED);
    }
  }
}

void ChannelPublisher::HandleIncrement(const runtime::Envelope& envelope,
                                       const RegistrationRequest& request,
                                       const PublisherProof& proof) {
  const auto found = registrations_.find(Key(request.channel(), envelope.from_endpoint()));
  if (found == registrations_.end() || found->second->number != request.registration() ||
      found->second->incarnation != envelope.from_incarnation() ||
      found->second->epoch != proof.epoch || found->second->ends <= runtime_->clock->Now()) {
    AnswerWithoutObjects(envelope, request, RegistrationResponse::REFUSED, "");
    return;
  }
  Flush();
  Registration* registration = found->second.get();
  for (const auto& object : request.include()) {
    if (registration->whole_channel) {
      registration->listed.erase(object.object());
    } else {
      registration->listed.insert(object.object());
    }
  }
  for (const auto& object : request.exclude()) {
    if (registration->whole_channel) {
      registration->listed.insert(object);
    } else {
      registration->listed.erase(object);
    }
  }
  ChannelEnvelope answer;
  RegistrationResponse* response = answer.mutable_response();
  response->set_channel(request.channel());
  response->set_registration(request.registration());
  response->set_increment(request.increment());
  response->set_status(RegistrationResponse::OK);
  response->set_server_epoch(proof.epoch);
  // Proves nothing about the objects registered before: only channel messages renew trust.
  response->set_next_sequence(registration->next_sequence);
  FillObjects(request, response);
  SendEnvelope(envelope.from_endpoint(), answer);
}

void ChannelPublisher::AnswerWithoutObjects(const runtime::Envelope& envelope,
                                            const RegistrationRequest& request,
                                            RegistrationResponse::Status status,
                                            const std::string& redirect_to) {
  ChannelEnvelope answer;
  RegistrationResponse* response = answer.mutable_response();
  response->set_channel(request.channel());
  response->set_registration(request.registration());
  response->set_increment(request.increment());
  response->set_status(status);
  response->set_redirect_to(redirect_to);
  response->set_request_sent_ns(request.sent_ns());
  SendEnvelope(envelope.from_endpoint(), answer);
}

void ChannelPublisher::ObjectChanged(const std::string& object) {
  const std::string channel = ChannelOf(object);
  if (channel.empty()) return;
  waiting_[channel].insert(object);
  waiting_[kAggregateChannel].insert(object);
  if (!batch_timer_.running()) batch_timer_.Start(BatchPeriod(), [this] { Flush(); });
}

runtime::Duration ChannelPublisher::BatchPeriod() const {
  const double seconds = static_cast<double>(registrations_.size()) / options_.messages_per_second;
  return std::max(options_.batch_period, std::chrono::duration_cast<runtime::Duration>(
                                             std::chrono::duration<double>(seconds)));
}

void ChannelPublisher::Flush() {
  batch_timer_.Cancel();
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (!registrations_by_channel_.contains(it->first)) {
      it = waiting_.erase(it);  // nobody to tell; a later registration gets the newest versions
      continue;
    }
    const PublisherProof proof = source_->Prove(it->first);
    if (!proof.live) {
      ++it;
      continue;
    }
    FlushChannel(it->first, proof, {it->second.begin(), it->second.end()});
    it = waiting_.erase(it);
  }
}

void ChannelPublisher::FlushChannel(const std::string& channel, const PublisherProof& proof,
                                    const std::vector<std::string>& objects) {
  std::vector<ObjectState> states;
  states.reserve(objects.size());
  for (const std::string& object : objects) states.push_back(StateOf(channel, object));
  const runtime::MonotonicTime now = runtime_->clock->Now();
  for (auto it = registrations_.lower_bound(Key(channel, ""));
       it != registrations_.end() && it->first.first == channel; ++it) {
    Registration* registration = it->second.get();
    if (registration->epoch != proof.epoch || registration->ends <= now) continue;
    std::vector<ObjectState> wanted;
    for (const ObjectState& state : states) {
      if (registration->Wants(state.object())) wanted.push_back(state);
    }
    if (!wanted.empty()) SendMessage(registration, proof.proven, std::move(wanted));
  }
}

ObjectState ChannelPublisher::StateOf(const std::string& channel, const std::string& object) const {
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

void ChannelPublisher::ExcludeObjects(const std::string& channel,
                                      const std::vector<std::string>& objects,
                                      runtime::MonotonicTime proven) {
  const runtime::MonotonicTime now = runtime_->clock->Now();
  for (auto it = registrations_.lower_bound(Key(channel, ""));
       it != registrations_.end() && it->first.first == channel; ++it) {
    Registration* registration = it->second.get();
    if (registration->ends <= now) continue;
    std::vector<ObjectState> states;
    for (const std::string& object : objects) {
      if (!registration->Wants(object)) continue;
      ObjectState& state = states.emplace_back();
      state.set_object(object);
      state.set_freshness(EXCLUDED);
    }
    if (!states.empty()) SendMessage(registration, proven, std::move(states));
  }
}

void ChannelPublisher::Renew(const std::string& channel) {
  Flush();
  const PublisherProof proof = source_->Prove(channel);
  if (!proof.live || waiting_.contains(channel)) return;
  const runtime::MonotonicTime now = runtime_->clock->Now();
  for (auto it = registrations_.lower_bound(Key(channel, ""));
       it != registrations_.end() && it->first.first == channel; ++it) {
    Registration* registration = it->second.get();
    if (registration->epoch != proof.epoch || registration->ends <= now) continue;
    SendHeartbeat(registration, proof);
  }
}

void ChannelPublisher::SendHeartbeat(Registration* registration, const PublisherProof& proof) {
  ++stats_.heartbeats_sent;
  SendMessage(registration, proof.proven, {});
}

void ChannelPublisher::SendMessage(Registration* registration, runtime::MonotonicTime proven,
                                   std::vector<ObjectState> objects) {
  const runtime::MonotonicTime now = runtime_->clock->Now();
  ChannelEnvelope envelope;
  ChannelMessage* message = envelope.mutable_message();
  message->set_channel(registration->channel);
  message->set_registration(registration->number);
  message->set_server_epoch(registration->epoch);
  message->set_sequence(registration->next_sequence);
  message->set_server_ns(runtime::ToNanoseconds(proven));
  message->set_remaining_lifetime_ms(Milliseconds(registration->ends - now));
  if (!objects.empty()) {
    ++registration->next_sequence;
    ++stats_.invalidation_messages_sent;
    stats_.objects_sent += objects.size();
    for (ObjectState& state : objects) *message->add_objects() = std::move(state);
  }
  SendEnvelope(registration->endpoint, envelope);
  SetDue(registration, now + registration->heartbeat);
}

void ChannelPublisher::SendEnvelope(const std::string& endpoint, const ChannelEnvelope& envelope) {
  runtime_->transport->Send(endpoint, runtime::SERVICE_CHANNELS, envelope.SerializeAsString(),
                            runtime::Delivery::kStream);
}

void ChannelPublisher::SetDue(Registration* registration, runtime::MonotonicTime due) {
  const Key key(registration->channel, registration->endpoint);
  due_.erase({registration->due, key});
  registration->due = due;
  due_.insert({due, key});
}

void ChannelPublisher::Erase(const Key& key) {
  const auto found = registrations_.find(key);
  if (found == registrations_.end()) return;
  due_.erase({found->second->due, key});
  const auto count = registrations_by_channel_.find(key.first);
  if (--count->second == 0) registrations_by_channel_.erase(count);
  registrations_.erase(found);
}

void ChannelPublisher::StartTicking() {
  if (due_.empty()) {
    tick_timer_.Cancel();
    return;
  }
  const runtime::MonotonicTime now = runtime_->clock->Now();
  const runtime::Duration wait = std::max(due_.begin()->first - now, runtime::Duration::zero());
  tick_timer_.Start(wait, [this] { Tick(); });
}

void ChannelPublisher::Tick() {
  // What waits goes first: a heartbeat never overtakes an earlier invalidation (WCIP 3.2).
  Flush();
  const runtime::MonotonicTime now = runtime_->clock->Now();
  while (!due_.empty() && due_.begin()->first <= now) {
    const Key key = due_.begin()->second;
    Registration* registration = registrations_.find(key)->second.get();
    const PublisherProof proof = source_->Prove(key.first);
    if (registration->ends <= now || (proof.live && proof.epoch != registration->epoch)) {
      ++stats_.expired;
      Erase(key);
    } else if (!proof.live || waiting_.contains(key.first)) {
      SetDue(registration, now + registration->heartbeat);
    } else {
      SendHeartbeat(registration, proof);
    }
  }
  StartTicking();
}

}  // namespace posthatch::channels
