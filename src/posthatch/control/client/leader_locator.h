#pragma once

#include <functional>
#include <string>
#include <vector>

#include "posthatch/runtime/runtime.h"

namespace posthatch::control {

// Remembers which controller to ask. Follows the hints of controllers, and goes through the known
// ones when the present one is silent. Event loop thread only.
class LeaderLocator {
 public:
  // Internal endpoints of the controllers believed to exist.
  using Endpoints = std::function<std::vector<std::string>()>;

  LeaderLocator(runtime::Runtime* runtime, Endpoints controllers);

  // Where to send now; empty if no controller is known.
  std::string Target();
  // A controller named the leader. Ignored if empty.
  void FollowHint(const std::string& leader_endpoint);
  // The leader at `endpoint` answered.
  void OnLeaderResponse(const std::string& endpoint);
  // `endpoint` didn't answer, or isn't the leader and knows none: goes on to the next controller,
  // unless it was heard as the leader within the last kLeaderTrustPeriod.
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
