#pragma once

namespace posthatch::control {

// Whether this controller may decide as the leader at this very moment: the replicated log says
// that it leads, and a majority has answered it within the shortest election timeout, by its clock
// now. The replicated log's owner implements it.
class LeaderLeaseGuard {
 public:
  virtual ~LeaderLeaseGuard() = default;
  virtual bool HasLeaderLease() const = 0;
};

}  // namespace posthatch::control
