#pragma once

#include "posthatch/consensus/raft_core.h"
#include "posthatch/consensus/replicated_log.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::consensus {

// Transfers leadership on request of an operator or a drain, and when the leader's own disk is
// slow. Owned by RaftReplica; event loop thread only.
class LeadershipTransfer {
 public:
  // The pointers must outlive this object. A requested transfer fails after `timeout`.
  LeadershipTransfer(runtime::Runtime* runtime, RaftCore* core, runtime::Duration timeout)
      : runtime_(runtime), core_(core), timeout_(timeout) {}

  // Transfers leadership to any other voter. Calls `done` with OK once another replica leads, or
  // with DeadlineExceeded. If this replica doesn't lead or a request is pending, calls `done` with
  // FailedPrecondition immediately and returns false.
  [[nodiscard]] bool Request(ReplicatedLog::ReadDone done);
  // Must be called regularly: restarts a requested transfer that was abandoned, and completes the
  // request when another replica leads or the time-out has passed.
  void Tick();
  // Transfers leadership away from this leader, whose disk is slow, to a follower whose disk is at
  // least twice as fast. Does nothing if there is no such follower or a transfer for a slow disk
  // began recently.
  void TransferFromSlowDisk(uint64_t sync_p95_us);

 private:
  runtime::MonotonicTime Now() const { return runtime_->clock->Now(); }

  runtime::Runtime* const runtime_;
  RaftCore* const core_;
  const runtime::Duration timeout_;
  ReplicatedLog::ReadDone done_;  // callback of the pending request; empty if there is none
  runtime::MonotonicTime deadline_;
  runtime::MonotonicTime next_slow_disk_transfer_at_;
};

}  // namespace posthatch::consensus
