#pragma once

#include <cstdint>
#include <memory>

#include "absl/status/status.h"
#include "posthatch/consensus/raft_core.h"
#include "posthatch/consensus/replica_metrics.h"
#include "posthatch/consensus/replica_options.h"
#include "posthatch/consensus/replicated_log.h"
#include "posthatch/runtime/runtime.h"
#include "posthatch/storage/log_writer.h"
#include "posthatch/storage/snapshot_writer.h"

namespace posthatch::consensus {

// Takes snapshots of the state machine when the log has grown, and installs those that a leader
// sends. One snapshot is written at a time; a write that fails because the disk is full is retried.
// Owned by RaftReplica; event loop thread only. Callbacks pending at destruction are not called.
class SnapshotManager {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    // RaftCore continues from an installed snapshot and may have messages to send.
    virtual void OnSnapshotInstalled() = 0;
    // A snapshot could not be installed: the state may be incomplete, so the replica must stop.
    virtual void OnSnapshotFailed(const absl::Status& status) = 0;
  };

  // The pointers must outlive this object. `recovered_index` is the index of the snapshot
  // that the state machine was restored from at start; 0 if there was none.
  SnapshotManager(runtime::Runtime* runtime, const ReplicaOptions* options, RaftCore* core,
                  storage::LogWriter* log_writer, StateMachine* state_machine,
                  ReplicaMetrics* metrics, Owner* owner, uint64_t recovered_index);

  // Called for each applied entry with the size of its data.
  void OnApplied(uint64_t bytes) { applied_bytes_ += bytes; }
  // Takes a snapshot if enough was applied since the previous one and none is being written.
  void TakeIfDue();
  // Makes `snapshot` durable, then restores the state machine from it.
  void Install(std::shared_ptr<const storage::Snapshot> snapshot);
  // Called when the replica has failed: results of writes in flight are ignored from now on.
  void Stop() { stopped_ = true; }

  // Index of the newest snapshot taken or installed, durable or being written.
  uint64_t snapshot_index() const { return snapshot_index_; }

 private:
  bool IsDue(uint64_t applied_index) const;
  void OnSnapshotWritten(const std::shared_ptr<const storage::Snapshot>& snapshot,
                         const absl::Status& status);
  void WriteInstalling();
  void OnInstallWritten(const absl::Status& status);
  runtime::MonotonicTime Now() const { return runtime_->clock->Now(); }

  runtime::Runtime* const runtime_;
  const ReplicaOptions* const options_;
  RaftCore* const core_;
  storage::LogWriter* const log_writer_;
  StateMachine* const state_machine_;
  ReplicaMetrics* const metrics_;
  Owner* const owner_;
  storage::SnapshotWriter snapshot_writer_;
  runtime::Timer install_retry_timer_;
  bool stopped_ = false;
  uint64_t snapshot_index_;
  uint64_t applied_bytes_ = 0;  // bytes applied since the newest snapshot
  runtime::MonotonicTime next_attempt_at_;
  std::shared_ptr<const storage::Snapshot> installing_;
};

}  // namespace posthatch::consensus
