#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "posthatch/consensus/bootstrap.h"
#include "posthatch/consensus/disk_health.h"
#include "posthatch/consensus/leadership_transfer.h"
#include "posthatch/consensus/pending_requests.h"
#include "posthatch/consensus/raft_core.h"
#include "posthatch/consensus/replica_metrics.h"
#include "posthatch/consensus/replica_options.h"
#include "posthatch/consensus/replica_status.h"
#include "posthatch/consensus/replicated_log.h"
#include "posthatch/consensus/snapshot_manager.h"
#include "posthatch/runtime/runtime.h"
#include "posthatch/storage/log_recovery.h"
#include "posthatch/storage/log_writer.h"

namespace posthatch::consensus {

// A controller's replica of the log: connects RaftCore to the runtime's clock, transport and disk,
// and to a StateMachine. Start recovers the data directory; once the recovered state is durable,
// the replica is active and takes part in the cluster. A failure of its disk or its state machine
// stops it permanently. Owned by server::ControllerNode. Event loop thread only; must be destroyed
// on that thread, and not from within one of its callbacks. Callbacks pending at destruction are
// not called.
class RaftReplica : public ReplicatedLog, private SnapshotManager::Owner {
 public:
  // Called once if this replica stops permanently: its disk failed, or its state could not be
  // restored.
  using FailureListener = std::function<void(const absl::Status&)>;

  // `runtime` and `state_machine` must outlive this object.
  RaftReplica(runtime::Runtime* runtime, ReplicaOptions options, StateMachine* state_machine);
  ~RaftReplica() override;
  RaftReplica(const RaftReplica&) = delete;
  RaftReplica& operator=(const RaftReplica&) = delete;

  // Reads the data directory (blocking) and restores the newest snapshot. The replica takes part in
  // the cluster as soon as the recovered state is known to be durable. Errors: DataLoss
  // (corruption), FailedPrecondition (unknown format version); the directory must not be used then.
  absl::Status Start();

  void Propose(std::string command, ProposeDone done) override;
  void ReadBarrier(ReadDone done) override;
  bool IsLeader() const override;
  uint64_t term() const override;
  uint64_t applied_index() const override;
  ReplicaRole role() const override;
  std::string leader_endpoint() const override;
  void SetLeadershipListener(LeadershipListener listener) override;

  // Whether this replica leads and a majority has responded to it within the shortest election
  // timeout, by the clock at the time of the call: no other leader has been elected.
  bool HasQuorumNow() const;
  // Transfers leadership to another replica, for draining. Calls `done` with OK once another
  // replica leads, with FailedPrecondition if this one doesn't lead, or with DeadlineExceeded.
  void TransferLeadership(ReadDone done);
  void SetFailureListener(FailureListener listener) { failure_listener_ = std::move(listener); }
  ReplicaStatus Status() const;

 private:
  // SnapshotManager::Owner.
  void OnSnapshotInstalled() override { ScheduleFlush(); }
  void OnSnapshotFailed(const absl::Status& status) override { Fail(status); }

  RecoveredState MakeRecoveredState(storage::RecoveredDirectory* directory);
  absl::Status RestoreSnapshot(storage::RecoveredDirectory* directory, RecoveredState* recovered);
  void CreateComponents(RecoveredState recovered);
  void Activate();

  void OnEnvelope(const runtime::Envelope& envelope);
  void Tick();
  void CheckDiskHealth();
  void ScheduleFlush();
  void Flush();
  void Persist(Ready* ready);
  void SendAll(const std::vector<OutgoingMessage>& messages);
  void Apply(const std::vector<storage::LogEntry>& entries);
  // Reports by how much this tick is late.
  void ObserveTickDelay();
  void CheckLeadership();
  void AnnounceLeadershipLost();
  void AnnounceLeadershipWon();
  void Fail(const absl::Status& status);
  runtime::MonotonicTime Now() const { return runtime_->clock->Now(); }

  runtime::Runtime* const runtime_;
  const ReplicaOptions options_;
  StateMachine* const state_machine_;
  ReplicaMetrics metrics_;
  PendingRequests pending_requests_;
  DiskHealth disk_health_;

  // Created by Start.
  std::unique_ptr<storage::LogWriter> log_writer_;
  std::unique_ptr<RaftCore> core_;
  std::unique_ptr<Bootstrap> bootstrap_;
  std::unique_ptr<SnapshotManager> snapshots_;
  std::unique_ptr<LeadershipTransfer> leadership_transfer_;

  runtime::Timer tick_timer_;
  std::optional<runtime::MonotonicTime> tick_due_at_;  // null before the first tick
  runtime::Timer flush_timer_;
  bool active_ = false;  // the recovered state is durable, and the replica has not failed
  absl::Status failure_;
  FailureListener failure_listener_;

  LeadershipListener leadership_listener_;
  bool announced_leader_ = false;
  uint64_t announced_term_ = 0;
};

}  // namespace posthatch::consensus
