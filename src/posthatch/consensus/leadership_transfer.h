#pragma once

#include "posthatch/consensus/raft_core.h"
#include "posthatch/consensus/replicated_log.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::consensus {

// Transfers of leadership: those that an operator or a drain requests, and those that a leader
// starts because its own disk is slow. Owned by RaftReplica; event loop thread only.
class LeadershipTransfer {
 public:
  // The pointers must outlive this object. A requested transfer fails after `timeout`.
  LeadershipTransfer(runtime::Runtime* runtime, RaftCore* core, runtime::Duration timeout)
      : runtime_(runtime), core_(core), timeout_(timeout) {}

  // Transfers leadership to any other voter. `done` gets OK once another replica leads,
  // FailedPrecondition (at once, and false is returned) if this one doesn't lead or a request is
  // pending, or DeadlineExceeded.
  [[nodiscard]] bool Request(ReplicatedLog::ReadDone done);
  // To be called regularly: starts the requested transfer again if it was given up, and ends the
  // request when another replica leads or the time is up.
  void Tick();
  // This leader's disk is slow: transfers leadership to a follower whose disk is at least twice as
  // fast, if there is one and none was tried lately.
  void LeaveSlowDisk(uint64_t sync_p95_us);

 private:
  runtime::MonotonicTime Now() const { return runtime_->clock->Now(); }

  runtime::Runtime* const runtime_;
  RaftCore* const core_;
  const runtime::Duration timeout_;
  ReplicatedLog::ReadDone done_;  // of the pending request; empty if there is none
  runtime::MonotonicTime deadline_;
  runtime::MonotonicTime next_slow_disk_transfer_at_;
};

}  // namespace posthatch::consensus
