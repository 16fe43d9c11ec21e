#pragma once

#include <string>
#include <vector>

namespace posthatch::invalidation {

// Receives the events of a subscribed channel, after the subscription has applied them. Called on
// the event loop thread.
class SubscriptionObserver {
 public:
  virtual ~SubscriptionObserver() = default;
  // `objects` have new versions, or are no longer covered.
  virtual void OnObjectsChanged(const std::string& channel,
                                const std::vector<std::string>& objects) = 0;
  // A registration was granted: the channel's objects are complete.
  virtual void OnSynchronized(const std::string& channel) = 0;
  // A message was received: the time up to which the channel is proved may have advanced.
  virtual void OnRenewed(const std::string& channel) = 0;
  // The registration was lost: no object of the channel is trusted until the next OnSynchronized.
  virtual void OnLost(const std::string& channel) = 0;
};

}  // namespace posthatch::invalidation
