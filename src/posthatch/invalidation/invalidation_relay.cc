#include "posthatch/invalidation/invalidation_relay.h"

#include <algorithm>
#include <utility>

#include "posthatch/invalidation/channel_names.h"

namespace posthatch::invalidation {

InvalidationRelay::InvalidationRelay(runtime::Runtime* runtime, PublisherOptions options,
                                     InvalidationSubscriber* upstream)
    : PublishingSource(runtime, options), upstream_(upstream) {
  for (const std::string& channel : upstream_->Channels()) {
    const ChannelSubscription* subscription = upstream_->Find(channel);
    if (subscription->IsLive()) relayed_[channel] = subscription->proven_until();
  }
  upstream_->AddListener(this);
  upstream_->SetRequestHandler(
      [this](const runtime::Envelope& envelope, const ChannelEnvelope& content) {
        publisher_.HandleEnvelope(envelope, content);
      });
}

InvalidationRelay::~InvalidationRelay() {
  upstream_->SetRequestHandler(nullptr);
  upstream_->RemoveListener(this);
}

PublisherProof InvalidationRelay::CurrentProof(const std::string& channel) {
  PublisherProof proof;
  proof.epoch = runtime_->transport->incarnation();
  if (channel == kAggregateChannel) {
    proof.live = !relayed_.empty();
    proof.proven_until = AggregateProvenUntil();
    return proof;
  }
  const auto found = relayed_.find(channel);
  if (found == relayed_.end()) return proof;
  const ChannelSubscription* subscription = upstream_->Find(channel);
  // Checked against the current clock: after the process was suspended, no timer may have detected
  // the loss yet.
  proof.live = subscription->IsLive();
  proof.proven_until = found->second;
  return proof;
}

runtime::MonotonicTime InvalidationRelay::AggregateProvenUntil() const {
  runtime::MonotonicTime proven_until = runtime::MonotonicTime::max();
  for (const auto& [channel, time] : relayed_) proven_until = std::min(proven_until, time);
  return relayed_.empty() ? runtime::MonotonicTime::min() : proven_until;
}

std::vector<RegisteredObject> InvalidationRelay::Objects(const std::string& channel) const {
  if (channel != kAggregateChannel || relayed_.contains(channel)) {
    return relayed_.contains(channel) ? upstream_->Find(channel)->Objects()
                                      : std::vector<RegisteredObject>();
  }
  std::vector<RegisteredObject> all;
  for (const auto& [upstream_channel, time] : relayed_) {
    std::vector<RegisteredObject> objects = upstream_->Find(upstream_channel)->Objects();
    std::move(objects.begin(), objects.end(), std::back_inserter(all));
  }
  return all;
}

bool InvalidationRelay::Find(const std::string& channel, const std::string& object,
                             ObjectVersion* version) const {
  std::string upstream_channel = ChannelOf(object);
  if (channel != kAggregateChannel && channel != upstream_channel) return false;
  if (relayed_.contains(kAggregateChannel)) upstream_channel = kAggregateChannel;
  return relayed_.contains(upstream_channel) &&
         upstream_->Find(upstream_channel)->Find(object, version);
}

std::vector<std::string> InvalidationRelay::ObjectNames(const std::string& channel) const {
  std::vector<std::string> names;
  for (const RegisteredObject& object : upstream_->Find(channel)->Objects()) {
    names.push_back(object.object());
  }
  return names;
}

void InvalidationRelay::OnObjectsChanged(const std::string& channel,
                                         const std::vector<std::string>& objects) {
  if (!relayed_.contains(channel)) return;
  for (const std::string& object : objects) publisher_.OnObjectChanged(object);
}

void InvalidationRelay::OnSynchronized(const std::string& channel) {
  relayed_[channel] = upstream_->Find(channel)->proven_until();
  // Changes during the loss are unknown, so all objects are published again. They are pending in
  // the publisher, which sends them before any message that carries the new proof.
  for (const std::string& object : upstream_->Find(channel)->KnownObjectNames()) {
    publisher_.OnObjectChanged(object);
  }
}

void InvalidationRelay::OnRenewed(const std::string& channel) {
  const auto found = relayed_.find(channel);
  if (found == relayed_.end()) return;
  found->second = upstream_->Find(channel)->proven_until();
  // Renews immediately, so that a level of relay points adds only its sending time to the age of
  // the proof. The aggregate channel is not renewed here but has its own heartbeat (WCIP 4.1),
  // since it would be renewed once per upstream channel.
  publisher_.Renew(channel);
}

void InvalidationRelay::OnLost(const std::string& channel) {
  const auto found = relayed_.find(channel);
  if (found == relayed_.end()) return;
  const std::vector<std::string> names = ObjectNames(channel);
  const runtime::MonotonicTime proven_until = found->second;
  if (channel != kAggregateChannel) {
    publisher_.ExcludeObjects(channel, names, proven_until);
    publisher_.ExcludeObjects(kAggregateChannel, names, AggregateProvenUntil());
  } else {
    publisher_.ExcludeObjects(channel, names, proven_until);
  }
  relayed_.erase(found);
}

}  // namespace posthatch::invalidation
