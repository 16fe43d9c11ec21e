#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "posthatch/invalidation/channel_subscription.h"
#include "posthatch/invalidation/object_trust.h"
#include "posthatch/invalidation/subscription_observer.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::invalidation {

struct InvalidationSubscriberOptions {
  SubscriptionOptions subscription;
  // One registration on the aggregate channel instead of one per class; for subscribers that
  // get all channels from one server or relay point.
  bool aggregate = false;
};

// Manages all channel subscriptions of one process and decides whether an object may be trusted
// now. Receives the process's SERVICE_CHANNELS messages; requests from downstream subscribers are
// passed to the request handler (a relay point) if one is set, and refused otherwise. Owned by
// index::IndexNode. Event loop thread only.
class InvalidationSubscriber : public ObjectTrust, private SubscriptionObserver {
 public:
  using Listener = SubscriptionObserver;
  using RequestHandler =
      std::function<void(const runtime::Envelope& envelope, const ChannelEnvelope& content)>;

  // `endpoints` returns the internal endpoints of the controllers; called at each registration.
  InvalidationSubscriber(runtime::Runtime* runtime, InvalidationSubscriberOptions options,
                         const ChannelSubscription::Endpoints& endpoints);
  ~InvalidationSubscriber() override;
  InvalidationSubscriber(const InvalidationSubscriber&) = delete;
  InvalidationSubscriber& operator=(const InvalidationSubscriber&) = delete;

  void Start();
  // Listeners must outlive this object, or be removed.
  void AddListener(Listener* listener);
  void RemoveListener(Listener* listener);
  void SetRequestHandler(RequestHandler handler) { request_handler_ = std::move(handler); }

  bool IsFresh(const std::string& object, const ObjectVersion& version) const override;
  bool CurrentVersion(const std::string& object, ObjectVersion* version) const override;

  // Changes the requested objects; for targeted service only.
  void Include(const std::string& object);
  void Exclude(const std::string& object);

  // Returns the subscription of `channel`, or null. With `aggregate`, only "all" has one.
  const ChannelSubscription* Find(const std::string& channel) const;
  std::vector<std::string> Channels() const;
  // Number of channels whose registration is live now.
  size_t live_channels() const;
  SubscriptionStats TotalStats() const;

 private:
  // SubscriptionObserver: forwards each event to the listeners.
  void OnObjectsChanged(const std::string& channel,
                        const std::vector<std::string>& objects) override;
  void OnSynchronized(const std::string& channel) override;
  void OnRenewed(const std::string& channel) override;
  void OnLost(const std::string& channel) override;

  ChannelSubscription* FindSubscription(const std::string& object) const;
  void AddChannel(const std::string& channel, const ChannelSubscription::Endpoints& endpoints);
  void Receive(const runtime::Envelope& envelope);

  runtime::Runtime* const runtime_;
  const InvalidationSubscriberOptions options_;
  absl::btree_map<std::string, std::unique_ptr<ChannelSubscription>> subscriptions_;
  std::vector<Listener*> listeners_;
  RequestHandler request_handler_;
};

}  // namespace posthatch::invalidation
