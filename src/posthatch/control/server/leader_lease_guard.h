#pragma once

namespace posthatch::control {

// Tells whether this controller holds the leader lease, so that no other one can have been elected:
// its replica of the log is the leader, and a majority has responded within the shortest election
// timeout before the current time. Implemented by the owner of the replicated log; event loop
// thread only.
class LeaderLeaseGuard {
 public:
  virtual ~LeaderLeaseGuard() = default;
  virtual bool HasLeaderLease() const = 0;
};

}  // namespace posthatch::control
