#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "posthatch/consensus/address_book.h"
#include "posthatch/consensus/consensus.pb.h"
#include "posthatch/consensus/memory_log.h"
#include "posthatch/consensus/raft_types.h"
#include "posthatch/consensus/replicated_log.h"
#include "posthatch/runtime/random.h"

namespace posthatch::consensus {

// The Raft algorithm as a state machine without clock, disk or network: the owner calls the input
// methods and performs the work that TakeReady() returns. Follows Ongaro, "Consensus: Bridging
// Theory and Practice" (2014), with pre-vote (9.6), leadership transfer (3.10), single-server
// membership change (4), log compaction (5), read index (6.4) and writing to the leader's disk in
// parallel (10.2.1). Design: docs/design-docs/consensus.md.
//
// Owned by RaftReplica; not thread-safe. `now` must not go back between calls.
class RaftCore {
 public:
  // `random` must outlive this object.
  RaftCore(RaftOptions options, runtime::Random* random, RecoveredState recovered,
           runtime::MonotonicTime now);

  // Input.

  // Handles a message received from another replica.
  void Step(const RaftMessage& message, runtime::MonotonicTime now);
  // Must be called at least every quarter of a heartbeat interval. Time by which a call is late is
  // time in which this replica didn't run: it isn't counted as silence of the others.
  void Tick(runtime::MonotonicTime now);
  // Returns the index of the new entry, or FailedPrecondition (not the leader, or transferring
  // leadership), ResourceExhausted (too much uncommitted), InvalidArgument (longer than
  // max_command_bytes).
  absl::StatusOr<uint64_t> Propose(std::string command, runtime::MonotonicTime now);
  // Returns an id that Ready::reads will contain once the read is confirmed, or FailedPrecondition.
  // Pending reads are dropped when leadership is lost.
  absl::StatusOr<uint64_t> RequestRead(runtime::MonotonicTime now);
  // Appends `configuration` as the first entry of a new cluster and, if it makes this replica a
  // voter, starts an election immediately. Does nothing unless the replica is unbootstrapped.
  void Bootstrap(const ClusterConfiguration& configuration, runtime::MonotonicTime now);
  // Starts to transfer leadership to the most up-to-date live voter whose 95th percentile of disk
  // syncs is at most `max_sync_p95_us`. False if not leader, if a transfer is in progress or if
  // there is no such voter.
  bool TransferLeadership(uint64_t max_sync_p95_us, runtime::MonotonicTime now);
  // Called when all batches with ids up to `persist_id` are durable.
  void OnPersisted(uint64_t persist_id, runtime::MonotonicTime now);
  // Called when `snapshot` (from Ready::install) is durable and restored into the state machine.
  void OnSnapshotInstalled(const std::shared_ptr<const storage::Snapshot>& snapshot,
                           runtime::MonotonicTime now);
  // Called when a snapshot of the state machine at or before applied_index() is durable: compacts
  // the log before it, except for the entries that `retention` keeps.
  void OnSnapshotTaken(const std::shared_ptr<const storage::Snapshot>& snapshot,
                       const LogRetention& retention, runtime::MonotonicTime now);
  // Sets the 95th percentile of this replica's disk syncs, which is reported to the leader.
  void SetSyncP95(uint64_t microseconds) { sync_p95_us_ = microseconds; }

  // Output.

  // Whether TakeReady would return any work.
  bool HasReady(runtime::MonotonicTime now) const;
  Ready TakeReady(runtime::MonotonicTime now);

  // State.

  uint64_t replica_id() const { return hard_state_.replica_id(); }
  uint64_t boot_count() const { return hard_state_.boot_count(); }
  uint64_t term() const { return hard_state_.term(); }
  uint64_t vote() const { return hard_state_.vote(); }
  uint64_t cluster_id() const;
  ReplicaRole role() const;
  bool IsLeader() const { return role_ == Role::kLeader; }
  // Whether this replica leads and an entry of its term is committed: reads and membership changes
  // are allowed.
  bool CurrentTermCommitted() const;
  // Whether this replica leads and has applied everything that earlier leaders committed.
  bool IsLeaderReady() const { return IsLeader() && applied_index_ >= term_start_index_; }
  bool IsTransferring() const { return transfer_target_ != 0; }
  // Whether a majority has responded to messages that were sent within the shortest election
  // timeout, so that no other leader can have been elected. False if not leader.
  bool HasQuorum(runtime::MonotonicTime now) const;
  // Whether no configuration is known: the replica belongs to no cluster.
  bool IsUnbootstrapped() const { return configurations_.empty(); }
  uint64_t leader_id() const { return leader_id_; }
  // Whether this replica leads or a leader has contacted it within the longest election timeout.
  bool HasLeader(runtime::MonotonicTime now) const;
  std::string EndpointOf(uint64_t replica_id) const;  // empty if unknown
  std::string LeaderEndpoint() const;                 // empty if unknown
  uint64_t commit_index() const { return commit_index_; }
  uint64_t applied_index() const { return applied_index_; }
  uint64_t durable_index() const { return durable_index_; }
  const MemoryLog& log() const { return log_; }
  const ClusterConfiguration& configuration() const;
  ClusterConfiguration ConfigurationAt(uint64_t index) const;
  const std::map<uint64_t, Progress>& progress() const { return progress_; }
  // Creates a message with sender, receiver, term and cluster id filled in.
  RaftMessage NewMessage(uint64_t to) const;
  // Records the endpoint of the sender of `message`.
  void RecordEndpoint(const RaftMessage& message);

 private:
  enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };
  // A batch returned in a Ready for persisting that is not yet durable.
  struct StagedBatch {
    uint64_t persist_id;
    uint64_t last_index;
  };
  // A message that may be sent once the batch `persist_id` is durable.
  struct DeferredMessage {
    uint64_t persist_id;
    RaftMessage message;
  };
  struct ConfigurationEntry {
    uint64_t index;  // index of its log entry, or of the snapshot that contained it
    ClusterConfiguration configuration;
  };
  struct PendingRead {
    uint64_t id;
    uint64_t sequence = 0;  // read sequence; 0 until confirmation starts
    uint64_t index = 0;
  };
  struct ReceivedSnapshot {
    storage::SnapshotMetadata metadata;
    uint64_t total_bytes = 0;
    std::string data;
  };

  // raft_core.cc
  bool Accepts(const RaftMessage& message);
  bool ReconcileTerm(const RaftMessage& message, runtime::MonotonicTime now);
  void Dispatch(const RaftMessage& message, runtime::MonotonicTime now);
  void RejectStaleTerm(const RaftMessage& message);
  void Send(RaftMessage message);
  void SendWhenDurable(RaftMessage message);
  void AppendToLog(storage::LogEntry entry);
  void TruncateLog(uint64_t from_index);
  void StagePersist(Ready* ready);
  void TakeCommitted(Ready* ready);
  void SetHardState(uint64_t term, uint64_t vote);

  // raft_election.cc
  void ResetElectionTimer(runtime::MonotonicTime now);
  // Called when this replica hasn't run for a while: messages of the leader may be waiting unread.
  void PostponeElection(runtime::MonotonicTime now);
  void BecomeFollower(uint64_t term, uint64_t leader, runtime::MonotonicTime now);
  void BecomeLeader(runtime::MonotonicTime now);
  void StartPreVote(runtime::MonotonicTime now);
  void StartElection(bool transfer, runtime::MonotonicTime now);
  void RequestVotes(bool pre_vote, bool transfer);
  void CountVotes(runtime::MonotonicTime now);
  // Whether every other member is known not to lead, by vote requests received since the restart.
  bool AllOthersKnownNotLeading() const;
  bool MustRefuseVotes(runtime::MonotonicTime now) const;
  void HandleVoteRequest(const RaftMessage& message, runtime::MonotonicTime now);
  void HandleVoteResponse(const RaftMessage& message, runtime::MonotonicTime now);
  void HandleTimeoutNow(const RaftMessage& message, runtime::MonotonicTime now);
  void AdvanceTransfer(runtime::MonotonicTime now);

  // raft_replication.cc
  // Whether a majority has failed to respond in time: this replica must not act as leader.
  bool HasLostQuorum(runtime::MonotonicTime now) const;
  // Whether the majority had the chance to respond, but didn't. `since_last_tick`: time since the
  // previous call.
  bool ShouldStepDown(runtime::Duration since_last_tick, runtime::MonotonicTime now);
  void LeaderTick(runtime::Duration since_last_tick, runtime::MonotonicTime now);
  void BroadcastHeartbeat(runtime::MonotonicTime now);
  void SendHeartbeat(uint64_t to, Progress* progress, runtime::MonotonicTime now);
  void SendEntries(uint64_t to, Progress* progress, runtime::MonotonicTime now);
  RaftMessage NewAppend(uint64_t to, uint64_t prev_index, uint64_t prev_term,
                        runtime::MonotonicTime now) const;
  void HandleAppendRequest(const RaftMessage& message, runtime::MonotonicTime now);
  bool AppendMissingEntries(const AppendRequest& request);
  void RejectAppend(const RaftMessage& message);
  void SendAppendResponse(uint64_t to, int64_t sent_at_ns, uint64_t read_sequence);
  void HandleAppendResponse(const RaftMessage& message, runtime::MonotonicTime now);
  void HandleRejection(const AppendResponse& response, Progress* progress);
  void RecordContact(Progress* progress, int64_t sent_at_ns, uint64_t read_sequence,
                     runtime::MonotonicTime now);
  void AdvanceCommit();
  void StartReadConfirmation(runtime::MonotonicTime now);
  bool OldestReadConfirmed(runtime::MonotonicTime now) const;
  void CollectConfirmedReads(Ready* ready, runtime::MonotonicTime now);

  // raft_snapshot.cc
  uint64_t CompactionIndex(uint64_t snapshot_index, const LogRetention& retention,
                           runtime::MonotonicTime now) const;
  void StartSnapshot(uint64_t to, Progress* progress, runtime::MonotonicTime now);
  void SendChunk(uint64_t to, Progress* progress, runtime::MonotonicTime now);
  // Returns the offset at which the leader must continue.
  uint64_t ReceiveChunk(const SnapshotChunk& chunk);
  void HandleSnapshotChunk(const RaftMessage& message, runtime::MonotonicTime now);
  void HandleSnapshotResponse(const RaftMessage& message, runtime::MonotonicTime now);

  // raft_membership.cc
  void AdoptConfiguration(uint64_t index, const ClusterConfiguration& configuration);
  void RefreshProgress(runtime::MonotonicTime now);
  void HandleJoinRequest(const RaftMessage& message, runtime::MonotonicTime now);
  void ProposeConfiguration(const ClusterConfiguration& configuration, runtime::MonotonicTime now);
  void RunMembershipPolicy(runtime::MonotonicTime now);
  bool AdmitLearner(runtime::MonotonicTime now);
  bool PromoteLearner(runtime::MonotonicTime now);
  bool RemoveReplacedVoter(runtime::MonotonicTime now);
  bool RemoveExcessVoter(runtime::MonotonicTime now);
  bool RemoveUnresponsiveLearner(runtime::MonotonicTime now);
  bool RefreshEndpoints(runtime::MonotonicTime now);
  bool IsLive(const Member& member, runtime::MonotonicTime now) const;
  bool IsPresumedLost(const Member& member, runtime::MonotonicTime now) const;
  // Whether `member` has not responded for the longest election timeout.
  bool IsUnresponsive(const Member& member, runtime::MonotonicTime now) const;
  // Whether another voter sends from the endpoint of `member`: its machine has restarted with a new
  // replica id.
  bool HasSuccessor(const Member& member) const;
  // The voter to be replaced by a learner that is promoted; 0 if all voters respond.
  uint64_t LongestUnresponsiveVoter(runtime::MonotonicTime now) const;
  bool IsCaughtUp(const Member& member, runtime::MonotonicTime now) const;

  const RaftOptions options_;
  runtime::Random* const random_;

  // Durable state, persisted through Ready.
  storage::HardState hard_state_;
  bool hard_state_dirty_ = false;
  MemoryLog log_;
  std::optional<storage::LogReset> reset_;  // reset record that is to be persisted
  uint64_t first_unstaged_ = 1;             // first entry not yet in a Ready
  std::deque<StagedBatch> staged_batches_;
  uint64_t durable_index_ = 0;
  uint64_t next_persist_id_ = 1;
  uint64_t durable_persist_id_ = 0;
  std::deque<DeferredMessage> awaiting_durability_;  // ordered by persist id

  // The configuration as of the newest snapshot and all later ones, by ascending index; the last
  // one is in force.
  std::vector<ConfigurationEntry> configurations_;
  AddressBook addresses_;
  // Cluster id of the last accepted message; used only while unbootstrapped.
  uint64_t joining_cluster_id_ = 0;

  runtime::MonotonicTime last_tick_at_;
  Role role_ = Role::kFollower;
  uint64_t leader_id_ = 0;
  std::optional<runtime::MonotonicTime> leader_contact_at_;
  // Whether `leader_contact_at_` is the time of the restart, since earlier contacts are not stored.
  bool leader_contact_assumed_ = false;
  // Members that have requested votes since the restart: none of them leads.
  std::set<uint64_t> known_non_leaders_;
  int64_t newest_append_sent_at_ns_ = 0;  // newest send time of the leader's messages, by its clock
  uint64_t newest_read_sequence_ = 0;
  runtime::MonotonicTime election_deadline_;
  std::set<uint64_t> votes_;
  uint64_t self_vote_persist_id_ = 0;

  uint64_t commit_index_ = 0;
  uint64_t applied_index_ = 0;
  uint64_t verified_index_ = 0;  // follower: its log equals the leader's up to here
  uint64_t sync_p95_us_ = 0;

  // State of a leader.
  std::map<uint64_t, Progress> progress_;
  runtime::MonotonicTime leader_since_;
  // How long this replica has run without a quorum, counted by ticks.
  runtime::Duration ran_without_quorum_for_{0};
  runtime::MonotonicTime next_heartbeat_;
  runtime::MonotonicTime last_heartbeat_;
  uint64_t commit_at_last_heartbeat_ = 0;
  uint64_t term_start_index_ = 0;  // index of this leader's no-op entry
  size_t uncommitted_bytes_ = 0;
  uint64_t read_sequence_ = 0;
  uint64_t next_read_id_ = 1;
  std::deque<PendingRead> reads_;
  uint64_t transfer_target_ = 0;
  runtime::MonotonicTime transfer_deadline_;
  std::map<uint64_t, ReplicaAddress> pending_joins_;
  // Ids of voters that were unresponsive when a replica at a new endpoint was promoted; see
  // RemoveReplacedVoter.
  std::set<uint64_t> replaced_while_unresponsive_;

  // Snapshots.
  std::shared_ptr<const storage::Snapshot> snapshot_;  // newest durable snapshot
  std::optional<ReceivedSnapshot> receiving_;
  std::shared_ptr<const storage::Snapshot> installing_;
  bool install_taken_ = false;

  std::vector<OutgoingMessage> outbox_;
};

}  // namespace posthatch::consensus
