#pragma once

#include <functional>
#include <string>
#include <vector>

#include "posthatch/runtime/runtime.h"

namespace posthatch::control {

// Chooses the controller to call: follows the hints of controllers, and goes through the known ones
// while the chosen one is unavailable. Owned by the user of a LeaderClient; event loop thread only.
class LeaderLocator {
 public:
  // Internal endpoints of the controllers believed to exist.
  using Endpoints = std::function<std::vector<std::string>()>;

  LeaderLocator(runtime::Runtime* runtime, Endpoints controllers);

  // The controller to call now; empty if none is known.
  std::string Target();
  // A controller named the leader; ignored if empty.
  void FollowHint(const std::string& leader_endpoint);
  // The leader responded from `endpoint`.
  void OnLeaderResponse(const std::string& endpoint);
  // `endpoint` didn't respond, or isn't the leader and knows none: the next controller is chosen,
  // unless `endpoint` responded as the leader within the last kLeaderTrustPeriod.
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
