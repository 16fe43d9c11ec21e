#pragma once

namespace posthatch::control {

// Whether this controller holds the leader lease, so that no other one has been elected: true if
// the replicated log leads and a majority has responded within the shortest election timeout, by
// the clock now. Implemented by the owner of the replicated log; event loop thread only.
class LeaderLeaseGuard {
 public:
  virtual ~LeaderLeaseGuard() = default;
  virtual bool HasLeaderLease() const = 0;
};

}  // namespace posthatch::control
