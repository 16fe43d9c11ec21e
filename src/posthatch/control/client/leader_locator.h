#pragma once

#include <functional>
#include <string>
#include <vector>

#include "posthatch/runtime/runtime.h"

namespace posthatch::control {

// Chooses the controller to call: follows the leader hints of controllers, and tries the known ones
// in turn while the chosen one is unavailable. Owned by the user of a LeaderClient; event loop
// thread only.
class LeaderLocator {
 public:
  // Returns the internal endpoints of the known controllers.
  using Endpoints = std::function<std::vector<std::string>()>;

  LeaderLocator(runtime::Runtime* runtime, Endpoints controllers);

  // The controller to call now; empty if none is known.
  std::string Target();
  // Handles a controller's hint of the leader's endpoint; an empty one is ignored.
  void FollowHint(const std::string& leader_endpoint);
  // Handles a response of the leader from `endpoint`.
  void OnLeaderResponse(const std::string& endpoint);
  // Called when `endpoint` didn't respond, or isn't the leader and knows none: chooses the next
  // controller, unless `endpoint` responded as the leader within the last kLeaderTrustPeriod.
  void MarkUnavailable(const std::string& endpoint);

  static constexpr runtime::Duration kLeaderTrustPeriod = std::chrono::milliseconds(1100);

 private:
  runtime::Runtime* const runtime_;
  const Endpoints controllers_;
  std::string target_;
  std::string confirmed_leader_;
  runtime::MonotonicTime confirmed_at_;
};

}  // namespace posthatch::control
