#pragma once

#include <cstdint>

#include "posthatch/consensus/replicated_log.h"
#include "posthatch/control/server/leader_lease_guard.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::control {

// The leadership of one controller: whether it leads, in which term, since when, and from when on
// no session of a previous leader is valid any more. The parts of ControllerService check it before
// each decision. Owned by ControllerService; event loop thread only.
class Leadership {
 public:
  // All three outlive this object.
  Leadership(const runtime::Clock* clock, const consensus::ReplicatedLog* log,
             const LeaderLeaseGuard* leader_lease_guard)
      : clock_(clock), log_(log), leader_lease_guard_(leader_lease_guard) {}

  // `max_previous_lease` bounds the sessions that previous leaders granted, clock drift included.
  void Begin(uint64_t term, runtime::Duration max_previous_lease);
  void End(uint64_t term);

  // True between the log's notifications that this controller leads, having applied all that
  // earlier leaders acknowledged, and that it doesn't.
  bool active() const { return active_; }
  // The log may know of a lost leadership before it notifies.
  bool IsLeader() const { return active_ && log_->IsLeader(); }
  // Required for every decision that another leader could contradict.
  bool HasLeaderLease() const { return IsLeader() && leader_lease_guard_->HasLeaderLease(); }
  // False while gateways may hold sessions that this leader doesn't know.
  bool PreviousSessionsExpired(runtime::MonotonicTime now) const {
    return now >= previous_sessions_expire_at_;
  }

  uint64_t term() const { return term_; }
  runtime::MonotonicTime since() const { return since_; }

 private:
  const runtime::Clock* const clock_;
  const consensus::ReplicatedLog* const log_;
  const LeaderLeaseGuard* const leader_lease_guard_;

  bool active_ = false;
  uint64_t term_ = 0;
  runtime::MonotonicTime since_;
  runtime::MonotonicTime previous_sessions_expire_at_;
};

}  // namespace posthatch::control
