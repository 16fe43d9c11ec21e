#pragma once

namespace posthatch::control {

// Whether this controller may decide as the leader at this very moment: the replicated log says
// that it leads, and a majority has answered it within the shortest election timeout, by its clock
// now. The replicated log's owner implements it.
class LeadershipGuard {
 public:
  virtual ~LeadershipGuard() = default;
  virtual bool MayGrant() const = 0;
};

}  // namespace posthatch::control
