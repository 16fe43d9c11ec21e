#include "posthatch/invalidation/invalidation_subscriber.h"

#include <algorithm>
#include <utility>

#include "posthatch/invalidation/channel_names.h"

namespace posthatch::invalidation {

InvalidationSubscriber::InvalidationSubscriber(runtime::Runtime* runtime,
                                               InvalidationSubscriberOptions options,
                                               const ChannelSubscription::Endpoints& endpoints)
    : runtime_(runtime), options_(std::move(options)) {
  if (options_.aggregate) {
    AddChannel(kAggregateChannel, endpoints);
  } else {
    for (const std::string& channel : ClassChannels()) AddChannel(channel, endpoints);
  }
  runtime_->transport->SetReceiver(
      runtime::SERVICE_CHANNELS, [this](const runtime::Envelope& envelope) { Receive(envelope); });
}

InvalidationSubscriber::~InvalidationSubscriber() {
  runtime_->transport->SetReceiver(runtime::SERVICE_CHANNELS, [](const runtime::Envelope&) {});
}

void InvalidationSubscriber::AddChannel(const std::string& channel,
                                        const ChannelSubscription::Endpoints& endpoints) {
  subscriptions_[channel] =
      std::make_unique<ChannelSubscription>(runtime_, options_.subscription, channel, endpoints,
                                            static_cast<SubscriptionObserver*>(this));
}

void InvalidationSubscriber::OnObjectsChanged(const std::string& channel,
                                              const std::vector<std::string>& objects) {
  for (Listener* listener : listeners_) listener->OnObjectsChanged(channel, objects);
}

void InvalidationSubscriber::OnSynchronized(const std::string& channel) {
  for (Listener* listener : listeners_) listener->OnSynchronized(channel);
}

void InvalidationSubscriber::OnRenewed(const std::string& channel) {
  for (Listener* listener : listeners_) listener->OnRenewed(channel);
}

void InvalidationSubscriber::OnLost(const std::string& channel) {
  for (Listener* listener : listeners_) listener->OnLost(channel);
}

void InvalidationSubscriber::Start() {
  for (auto& [channel, subscription] : subscriptions_) subscription->Start();
}

void InvalidationSubscriber::AddListener(Listener* listener) { listeners_.push_back(listener); }

void InvalidationSubscriber::RemoveListener(Listener* listener) {
  listeners_.erase(std::remove(listeners_.begin(), listeners_.end(), listener), listeners_.end());
}

void InvalidationSubscriber::Receive(const runtime::Envelope& envelope) {
  ChannelEnvelope content;
  if (!content.ParseFromString(envelope.payload())) return;
  if (content.has_response() || content.has_message()) {
    const std::string& channel =
        content.has_response() ? content.response().channel() : content.message().channel();
    const auto found = subscriptions_.find(channel);
    if (found == subscriptions_.end()) return;
    if (content.has_response()) {
      found->second->HandleResponse(envelope, content.response());
    } else {
      found->second->HandleMessage(envelope, content.message());
    }
    return;
  }
  if (request_handler_) {
    request_handler_(envelope, content);
  } else if (content.has_request()) {
    ChannelEnvelope reply;
    RegistrationResponse* response = reply.mutable_response();
    response->set_channel(content.request().channel());
    response->set_registration(content.request().registration());
    response->set_increment(content.request().increment());
    response->set_status(RegistrationResponse::REFUSED);
    runtime_->transport->Send(envelope.from_endpoint(), runtime::SERVICE_CHANNELS,
                              reply.SerializeAsString(), runtime::Delivery::kStream);
  }
}

ChannelSubscription* InvalidationSubscriber::FindSubscription(const std::string& object) const {
  const std::string channel = options_.aggregate ? kAggregateChannel : ChannelOf(object);
  const auto found = subscriptions_.find(channel);
  return found == subscriptions_.end() ? nullptr : found->second.get();
}

bool InvalidationSubscriber::IsFresh(const std::string& object,
                                     const ObjectVersion& version) const {
  const ChannelSubscription* subscription = FindSubscription(object);
  return subscription != nullptr && subscription->IsFresh(object, version);
}

bool InvalidationSubscriber::CurrentVersion(const std::string& object,
                                            ObjectVersion* version) const {
  const ChannelSubscription* subscription = FindSubscription(object);
  return subscription != nullptr && subscription->CurrentVersion(object, version);
}

void InvalidationSubscriber::Include(const std::string& object) {
  ChannelSubscription* subscription = FindSubscription(object);
  if (subscription != nullptr) subscription->Include(object);
}

void InvalidationSubscriber::Exclude(const std::string& object) {
  ChannelSubscription* subscription = FindSubscription(object);
  if (subscription != nullptr) subscription->Exclude(object);
}

const ChannelSubscription* InvalidationSubscriber::Find(const std::string& channel) const {
  const auto found = subscriptions_.find(channel);
  return found == subscriptions_.end() ? nullptr : found->second.get();
}

std::vector<std::string> InvalidationSubscriber::Channels() const {
  std::vector<std::string> channels;
  for (const auto& [channel, subscription] : subscriptions_) channels.push_back(channel);
  return channels;
}

size_t InvalidationSubscriber::live_channels() const {
  size_t live = 0;
  for (const auto& [channel, subscription] : subscriptions_) {
    if (subscription->IsLive()) ++live;
  }
  return live;
}

SubscriptionStats InvalidationSubscriber::TotalStats() const {
  SubscriptionStats total;
  for (const auto& [channel, subscription] : subscriptions_) {
    const SubscriptionStats& stats = subscription->stats();
    total.requests_sent += stats.requests_sent;
    total.responses += stats.responses;
    total.refusals += stats.refusals;
    total.redirections += stats.redirections;
    total.messages += stats.messages;
    total.ignored += stats.ignored;
    total.gaps += stats.gaps;
    total.epoch_changes += stats.epoch_changes;
    total.heartbeat_timeouts += stats.heartbeat_timeouts;
  }
  return total;
}

}  // namespace posthatch::invalidation
