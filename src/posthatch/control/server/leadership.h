#pragma once

#include <cstdint>

#include "posthatch/consensus/replicated_log.h"
#include "posthatch/control/server/leader_lease_guard.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::control {

// Leadership state of one controller: whether it leads, in which term, since when, and when the
// sessions granted by previous leaders have expired. The components of ControllerService check it
// before each decision. Owned by ControllerService; event loop thread only.
class Leadership {
 public:
  // Every pointer must outlive this object.
  Leadership(const runtime::Clock* clock, const consensus::ReplicatedLog* log,
             const LeaderLeaseGuard* leader_lease_guard)
      : clock_(clock), log_(log), leader_lease_guard_(leader_lease_guard) {}

  // `max_previous_lease` bounds the session leases that previous leaders granted, including clock
  // drift.
  void Begin(uint64_t term, runtime::Duration max_previous_lease);
  void End(uint64_t term);

  // True from the log's notification that this controller leads and has applied all that earlier
  // leaders acknowledged, until the notification that it no longer leads.
  bool active() const { return active_; }
  // Unlike active(), false as soon as the log has lost leadership, before it notifies.
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
