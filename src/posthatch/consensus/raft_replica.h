#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "posthatch/consensus/bootstrap.h"
#include "posthatch/consensus/disk_health.h"
#include "posthatch/consensus/raft_core.h"
#include "posthatch/consensus/replicated_log.h"
#include "posthatch/runtime/runtime.h"
#include "posthatch/storage/log_recovery.h"
#include "posthatch/storage/log_writer.h"
#include "posthatch/storage/snapshot_writer.h"

namespace posthatch::consensus {

struct ReplicaOptions {
  RaftOptions raft;
  storage::LogWriterOptions log;  // its folder holds the snapshots too
  // How many fresh replicas form a new cluster. Must be the number of controllers that are started
  // for the first time; see docs/operations/controllers.md.
  size_t bootstrap_expect = 3;
  // Internal endpoints of the only replicas that may form a new cluster, the same on all; each of
  // them must take part in it. Empty: any replica may. Needed where the number of controllers is
  // not known.
  std::vector<std::string> bootstrap_voters;
  // Internal endpoints of the controllers known now; asked while there is no leader.
  std::function<std::vector<std::string>()> peers;

  // A snapshot is taken after so many entries or bytes since the last one; so many entries before
  // it are kept for followers that lag.
  uint64_t snapshot_every_entries = 10'000;
  uint64_t snapshot_every_bytes = 32u << 20;
  // Entries before it that are kept for followers that lag, as far back as both allow.
  uint64_t retained_entries = 2'000;
  uint64_t retained_bytes = 8u << 20;
  // A leader whose disk syncs have a 95th percentile above this for `slow_sync_min_duration` hands
  // over to a follower whose disk is at least twice as fast.
  runtime::Duration slow_sync_threshold = std::chrono::milliseconds(250);
  runtime::Duration slow_sync_min_duration = std::chrono::seconds(2);
};

// For operators.
struct ReplicaStatus {
  struct MemberStatus {
    uint64_t replica_id = 0;
    std::string endpoint;
    bool voter = false;
    uint64_t match_index = 0;                  // leader only
    runtime::Duration since_last_response{0};  // leader only
  };
  uint64_t replica_id = 0;
  uint64_t cluster_id = 0;
  ReplicaRole role = ReplicaRole::kUnbootstrapped;
  uint64_t term = 0;
  uint64_t leader_id = 0;
  std::string leader_endpoint;
  std::vector<MemberStatus> members;
  uint64_t first_index = 0;
  uint64_t last_index = 0;
  uint64_t durable_index = 0;
  uint64_t commit_index = 0;
  uint64_t applied_index = 0;
  uint64_t snapshot_index = 0;
  uint64_t log_segments = 0;
  runtime::Duration disk_sync_p95{0};
  bool disk_full = false;
  absl::Status failure;  // not OK: this replica has stopped for good
};

// One controller's replica of the log: drives RaftCore over the runtime's clock, transport and
// disk, and a StateMachine. Event loop thread only; must be destroyed on it, and not from within
// one of its callbacks. Callbacks pending at destruction are not called.
class RaftReplica : public ReplicatedLog {
 public:
  // Called once if this replica stops for good: its disk failed, or its state could not be
  // restored.
  using FailureListener = std::function<void(const absl::Status&)>;

  // `runtime` and `state_machine` must outlive this object.
  RaftReplica(runtime::Runtime* runtime, ReplicaOptions options, StateMachine* state_machine);
  ~RaftReplica() override;

  // Reads the data folder (blocking) and restores the newest snapshot; then takes part as soon as
  // what was read is known to be durable. Errors: DataLoss (corruption), FailedPrecondition
  // (unknown format version): the replica must not be started on this folder.
  absl::Status Start();

  void Propose(std::string command, ProposeDone done) override;
  void ReadBarrier(ReadDone done) override;
  bool IsLeader() const override;
  uint64_t term() const override;
  uint64_t applied_index() const override;
  ReplicaRole role() const override;
  std::string leader_endpoint() const override;
  void SetLeadershipListener(LeadershipListener listener) override;

  // Whether this replica leads and has heard a majority within the shortest election timeout, by
  // the clock at this moment: no other leader has been elected.
  bool HasQuorumNow() const;
  // Hands leadership over, for draining. `done` gets OK once another replica leads,
  // FailedPrecondition if this one doesn't, or DeadlineExceeded.
  void TransferLeadership(ReadDone done);
  void SetFailureListener(FailureListener listener) { failure_listener_ = std::move(listener); }
  ReplicaStatus Status() const;

 private:
  struct Proposal {
    uint64_t term;
    runtime::MonotonicTime started;
    ProposeDone done;
  };

  void RegisterMetrics();
  void Activate();
  void OnEnvelope(const runtime::Envelope& envelope);
  void Tick();
  void ScheduleFlush();
  void Flush();
  void Persist(Ready* ready);
  void SendAll(const std::vector<OutgoingMessage>& messages);
  void Apply(const std::vector<storage::LogEntry>& entries);
  void CompleteReads(const std::vector<uint64_t>& reads);
  void CheckLeadership();
  void FailPending(const absl::Status& status);
  void MaybeTakeSnapshot();
  void OnSnapshotWritten(const std::shared_ptr<const storage::Snapshot>& snapshot,
                         const absl::Status& status);
  void InstallSnapshot();
  void OnInstallWritten(const absl::Status& status);
  void TransferFromSlowDisk();
  void CheckTransfer();
  void Fail(const absl::Status& status);
  runtime::MonotonicTime Now() const { return runtime_->clock->Now(); }

  runtime::Runtime* const runtime_;
  const ReplicaOptions options_;
  StateMachine* const state_machine_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);

  std::unique_ptr<RaftCore> core_;
  std::unique_ptr<Bootstrap> bootstrap_;
  std::unique_ptr<storage::LogWriter> log_writer_;
  storage::SnapshotWriter snapshot_writer_;
  DiskHealth disk_health_;
  runtime::Timer tick_timer_;
  runtime::Timer flush_timer_;
  runtime::Timer install_retry_timer_;
  bool active_ = false;
  absl::Status failure_;
  FailureListener failure_listener_;

  std::map<uint64_t, Proposal> proposals_;  // by index
  std::map<uint64_t, ReadDone> reads_;      // by the core's read id
  uint64_t pending_term_ = 0;               // the term in which those were taken
  LeadershipListener leadership_listener_;
  bool announced_leader_ = false;
  uint64_t announced_term_ = 0;

  uint64_t snapshot_index_ = 0;
  uint64_t applied_bytes_ = 0;  // since the last snapshot
  runtime::MonotonicTime next_snapshot_attempt_at_;
  std::shared_ptr<const storage::Snapshot> installing_;

  ReadDone transfer_done_;
  runtime::MonotonicTime transfer_deadline_;
  uint64_t transfer_max_sync_us_ = std::numeric_limits<uint64_t>::max();
  runtime::MonotonicTime next_slow_disk_transfer_at_;

  // Owned by the registry; null without one.
  prometheus::Counter* committed_total_ = nullptr;
  prometheus::Counter* leader_changes_total_ = nullptr;
  prometheus::Counter* snapshots_total_ = nullptr;
  prometheus::Histogram* commit_seconds_ = nullptr;
  prometheus::Histogram* sync_seconds_ = nullptr;
  prometheus::Gauge* is_leader_gauge_ = nullptr;
  prometheus::Gauge* term_gauge_ = nullptr;
  prometheus::Gauge* log_bytes_gauge_ = nullptr;
};

}  // namespace posthatch::consensus
