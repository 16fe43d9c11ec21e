#pragma once

#include <string>
#include <vector>

namespace posthatch::invalidation {

// Hears of everything that happens to a subscribed channel, after the subscription has applied it.
// Called on the event loop thread.
class SubscriptionObserver {
 public:
  virtual ~SubscriptionObserver() = default;
  // These objects have new versions, or are no longer covered.
  virtual void OnObjects(const std::string& channel, const std::vector<std::string>& objects) = 0;
  // A registration was granted: the channel's objects are complete.
  virtual void OnSynchronized(const std::string& channel) = 0;
  // The moment up to which the channel is proved has moved on.
  virtual void OnRenewed(const std::string& channel) = 0;
  // Nothing of the channel is trusted until the next OnSynchronized.
  virtual void OnLost(const std::string& channel) = 0;
};

}  // namespace posthatch::invalidation
