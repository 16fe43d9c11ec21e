#include "posthatch/consensus/raft_core.h"

#include <algorithm>
#include <utility>

#include "posthatch/consensus/cluster_configuration.h"

namespace posthatch::consensus {

using runtime::MonotonicTime;

RaftCore::RaftCore(RaftOptions options, runtime::Random* random, RecoveredState recovered,
                   MonotonicTime now)
    : options_(options),
      random_(random),
      hard_state_(recovered.hard_state),
      addresses_(recovered.hard_state.replica_id(), std::move(recovered.endpoint)),
      snapshot_(std::move(recovered.snapshot)) {
  log_.Restore(recovered.base_index, recovered.base_term, std::move(recovered.entries));
  first_unstaged_ = log_.last_index() + 1;
  durable_index_ = log_.last_index();
  if (snapshot_ != nullptr) {
    commit_index_ = snapshot_->metadata.index();
    applied_index_ = commit_index_;
    AdoptConfiguration(commit_index_, ParseConfiguration(snapshot_->metadata.configuration()));
  }
  for (uint64_t index = log_.base_index() + 1; index <= log_.last_index(); ++index) {
    const storage::LogEntry& entry = log_.Entry(index);
    if (entry.type() != storage::LogEntry::CONFIGURATION || index <= commit_index_) continue;
    AdoptConfiguration(index, ParseConfiguration(entry.data()));
  }
  verified_index_ = commit_index_;
  // Contacts with a leader before the restart are not stored. Assuming a contact now preserves the
  // lease that a leader from before the restart may still rely on.
  leader_contact_assumed_ = term() > 0;
  if (leader_contact_assumed_) leader_contact_at_ = now;
  last_tick_at_ = now;
  ResetElectionTimer(now);
}

// State.

uint64_t RaftCore::cluster_id() const {
  return IsUnbootstrapped() ? joining_cluster_id_ : configuration().cluster_id();
}

const ClusterConfiguration& RaftCore::configuration() const {
  static const ClusterConfiguration none;
  return configurations_.empty() ? none : configurations_.back().configuration;
}

ClusterConfiguration RaftCore::ConfigurationAt(uint64_t index) const {
  ClusterConfiguration found;
  for (const auto& [entry_index, configuration] : configurations_) {
    if (entry_index <= index) found = configuration;
  }
  return found;
}

ReplicaRole RaftCore::role() const {
  if (IsUnbootstrapped()) return ReplicaRole::kUnbootstrapped;
  if (role_ == Role::kLeader) return ReplicaRole::kLeader;
  if (!IsVoter(configuration(), replica_id())) return ReplicaRole::kLearner;
  return role_ == Role::kFollower ? ReplicaRole::kFollower : ReplicaRole::kCandidate;
}

bool RaftCore::HasLeader(MonotonicTime now) const {
  if (IsLeader()) return true;
  return leader_id_ != 0 && leader_contact_at_.has_value() &&
         now - *leader_contact_at_ < options_.election_timeout_max;
}

std::string RaftCore::EndpointOf(uint64_t replica_id) const {
  return addresses_.EndpointOf(replica_id);
}

std::string RaftCore::LeaderEndpoint() const {
  return leader_id_ == 0 ? std::string() : EndpointOf(leader_id_);
}

// Messages.

RaftMessage RaftCore::NewMessage(uint64_t to) const {
  RaftMessage message;
  message.set_cluster_id(cluster_id());
  message.set_from(replica_id());
  message.set_to(to);
  message.set_term(term());
  message.set_from_endpoint(addresses_.self_endpoint());
  message.set_from_boot_count(boot_count());
  return message;
}

void RaftCore::RecordEndpoint(const RaftMessage& message) {
  if (message.from() == 0 || message.from() == replica_id()) return;
  const std::string& endpoint = message.from_endpoint();
  if (endpoint.empty() || endpoint == addresses_.self_endpoint()) return;
  const ReplicaAddress* known = addresses_.Find(message.from());
  if (known != nullptr && message.from_boot_count() < known->boot_count) return;
  addresses_.Set(message.from(), {endpoint, message.from_boot_count()});
}

void RaftCore::Send(RaftMessage message) {
  std::string endpoint = EndpointOf(message.to());
  if (endpoint.empty()) return;
  outbox_.push_back({std::move(endpoint), std::move(message)});
}

void RaftCore::SendWhenDurable(RaftMessage message) {
  const bool unstaged =
      hard_state_dirty_ || reset_.has_value() || first_unstaged_ <= log_.last_index();
  const uint64_t needed = unstaged ? next_persist_id_ : next_persist_id_ - 1;
  if (needed <= durable_persist_id_) return Send(std::move(message));
  awaiting_durability_.push_back({needed, std::move(message)});
}

bool RaftCore::Accepts(const RaftMessage& message) {
  if (message.from() == 0 || message.from() == replica_id()) return false;
  // The receiver's id may be the one that this machine had before it lost its disk.
  if (message.to() != replica_id()) return false;
  if (message.has_join_request()) {
    return !IsUnbootstrapped() &&
           (message.cluster_id() == 0 || message.cluster_id() == cluster_id());
  }
  if (message.cluster_id() == 0) return false;
  if (!IsUnbootstrapped()) return message.cluster_id() == cluster_id();
  // Only a cluster whose configuration contains this replica sends it vote requests, appends and
  // snapshot chunks.
  if (!message.has_vote_request() && !message.has_append_request() &&
      !message.has_snapshot_chunk()) {
    return false;
  }
  joining_cluster_id_ = message.cluster_id();
  return true;
}

bool RaftCore::ReconcileTerm(const RaftMessage& message, MonotonicTime now) {
  if (message.has_join_request() || message.term() == term()) return true;
  if (message.term() < term()) {
    RejectStaleTerm(message);
    return false;
  }
  if (message.has_vote_request()) {
    const VoteRequest& request = message.vote_request();
    if (request.pre_vote()) return true;
    if (!request.leadership_transfer() && MustRefuseVotes(now)) return false;
  }
  if (message.has_vote_response() && message.vote_response().pre_vote() &&
      message.vote_response().granted()) {
    return true;
  }
  const bool from_leader = message.has_append_request() || message.has_snapshot_chunk();
  BecomeFollower(message.term(), from_leader ? message.from() : 0, now);
  return true;
}

// The response carries the current term, which makes a leader or candidate of an earlier term step
// down.
void RaftCore::RejectStaleTerm(const RaftMessage& message) {
  RaftMessage reply = NewMessage(message.from());
  if (message.has_append_request() || message.has_snapshot_chunk()) {
    reply.mutable_append_response()->set_success(false);
  } else if (message.has_vote_request()) {
    reply.mutable_vote_response()->set_pre_vote(message.vote_request().pre_vote());
    reply.mutable_vote_response()->set_request_term(message.term());
  } else {
    return;
  }
  Send(std::move(reply));
}

void RaftCore::Step(const RaftMessage& message, MonotonicTime now) {
  if (!Accepts(message)) return;
  RecordEndpoint(message);
  if (leader_contact_assumed_ && message.has_vote_request())
    known_non_leaders_.insert(message.from());
  if (ReconcileTerm(message, now)) Dispatch(message, now);
}

void RaftCore::Dispatch(const RaftMessage& message, MonotonicTime now) {
  switch (message.body_case()) {
    case RaftMessage::kVoteRequest:
      return HandleVoteRequest(message, now);
    case RaftMessage::kVoteResponse:
      return HandleVoteResponse(message, now);
    case RaftMessage::kAppendRequest:
      return HandleAppendRequest(message, now);
    case RaftMessage::kAppendResponse:
      return HandleAppendResponse(message, now);
    case RaftMessage::kSnapshotChunk:
      return HandleSnapshotChunk(message, now);
    case RaftMessage::kSnapshotResponse:
      return HandleSnapshotResponse(message, now);
    case RaftMessage::kTimeoutNow:
      return HandleTimeoutNow(message, now);
    case RaftMessage::kJoinRequest:
      return HandleJoinRequest(message, now);
    case RaftMessage::kHello:  // handled by class Bootstrap
    case RaftMessage::BODY_NOT_SET:
      return;
  }
}

void RaftCore::Tick(MonotonicTime now) {
  const runtime::Duration since_last_tick = now - std::exchange(last_tick_at_, now);
  if (IsLeader()) return LeaderTick(since_last_tick, now);
  if (since_last_tick >= options_.heartbeat_interval) PostponeElection(now);
  if (now >= election_deadline_ && IsVoter(configuration(), replica_id())) StartPreVote(now);
}

absl::StatusOr<uint64_t> RaftCore::Propose(std::string command, MonotonicTime now) {
  if (!IsLeader()) return absl::FailedPreconditionError("not leader");
  if (transfer_target_ != 0)
    return absl::FailedPreconditionError("leadership transfer in progress");
  if (HasLostQuorum(now)) {
    return absl::FailedPreconditionError("not leader: no response from a majority");
  }
  if (command.size() > options_.max_command_bytes) {
    return absl::InvalidArgumentError("command too long");
  }
  if (log_.last_index() - commit_index_ >= options_.max_uncommitted_entries ||
      uncommitted_bytes_ + command.size() > options_.max_uncommitted_bytes) {
    return absl::ResourceExhaustedError("too many uncommitted commands");
  }
  storage::LogEntry entry;
  entry.set_index(log_.last_index() + 1);
  entry.set_term(term());
  entry.set_data(std::move(command));
  uncommitted_bytes_ += entry.data().size();
  AppendToLog(std::move(entry));
  return log_.last_index();
}

void RaftCore::Bootstrap(const ClusterConfiguration& configuration, MonotonicTime now) {
  if (!IsUnbootstrapped() || log_.last_index() != 0) return;
  SetHardState(std::max<uint64_t>(term(), 1), hard_state_.vote());
  storage::LogEntry entry;
  entry.set_index(1);
  entry.set_term(1);
  entry.set_type(storage::LogEntry::CONFIGURATION);
  entry.set_data(configuration.SerializeAsString());
  AppendToLog(std::move(entry));
  if (IsVoter(configuration, replica_id())) StartElection(/*transfer=*/false, now);
}

// Persistence.

void RaftCore::SetHardState(uint64_t term, uint64_t vote) {
  if (hard_state_.term() == term && hard_state_.vote() == vote) return;
  hard_state_.set_term(term);
  hard_state_.set_vote(vote);
  hard_state_dirty_ = true;
}

void RaftCore::AppendToLog(storage::LogEntry entry) {
  const uint64_t index = entry.index();
  const bool is_configuration = entry.type() == storage::LogEntry::CONFIGURATION;
  log_.Append(std::move(entry));
  if (is_configuration) AdoptConfiguration(index, ParseConfiguration(log_.Entry(index).data()));
}

void RaftCore::TruncateLog(uint64_t from_index) {
  log_.TruncateFrom(from_index);
  first_unstaged_ = std::min(first_unstaged_, from_index);
  durable_index_ = std::min(durable_index_, from_index - 1);
  verified_index_ = std::min(verified_index_, from_index - 1);
  for (StagedBatch& batch : staged_batches_)
    batch.last_index = std::min(batch.last_index, from_index - 1);
  while (!configurations_.empty() && configurations_.back().index >= from_index) {
    configurations_.pop_back();
  }
}

void RaftCore::StagePersist(Ready* ready) {
  if (!hard_state_dirty_ && !reset_.has_value() && first_unstaged_ > log_.last_index()) return;
  ready->persist_id = next_persist_id_++;
  ready->reset = std::exchange(reset_, std::nullopt);
  for (; first_unstaged_ <= log_.last_index(); ++first_unstaged_) {
    ready->entries.push_back(log_.Entry(first_unstaged_));
  }
  if (std::exchange(hard_state_dirty_, false)) ready->hard_state = hard_state_;
  staged_batches_.push_back({ready->persist_id, log_.last_index()});
}

void RaftCore::OnPersisted(uint64_t persist_id, MonotonicTime now) {
  durable_persist_id_ = persist_id;
  const uint64_t durable_before = durable_index_;
  while (!staged_batches_.empty() && staged_batches_.front().persist_id <= persist_id) {
    durable_index_ = std::max(durable_index_, staged_batches_.front().last_index);
    staged_batches_.pop_front();
  }
  while (!awaiting_durability_.empty() && awaiting_durability_.front().persist_id <= persist_id) {
    Send(std::move(awaiting_durability_.front().message));
    awaiting_durability_.pop_front();
  }
  if (role_ == Role::kCandidate) CountVotes(now);
  if (IsLeader()) {
    AdvanceCommit();
  } else if (durable_index_ > durable_before && leader_id_ != 0) {
    SendAppendResponse(leader_id_, newest_append_sent_at_ns_, newest_read_sequence_);
  }
}

// Output.

bool RaftCore::HasReady(MonotonicTime now) const {
  if (hard_state_dirty_ || reset_.has_value() || first_unstaged_ <= log_.last_index()) return true;
  if (!outbox_.empty()) return true;
  if (CurrentTermCommitted() && !reads_.empty() &&
      (reads_.back().sequence == 0 || OldestReadConfirmed(now))) {
    return true;
  }
  return installing_ == nullptr ? applied_index_ < commit_index_ : !install_taken_;
}

Ready RaftCore::TakeReady(MonotonicTime now) {
  Ready ready;
  if (IsLeader()) {
    StartReadConfirmation(now);
    for (auto& [id, progress] : progress_) SendEntries(id, &progress, now);
  }
  StagePersist(&ready);
  if (installing_ != nullptr && !install_taken_) {
    install_taken_ = true;
    ready.install = installing_;
  }
  if (installing_ == nullptr) TakeCommitted(&ready);
  CollectConfirmedReads(&ready, now);
  ready.messages = std::move(outbox_);
  outbox_.clear();
  return ready;
}

void RaftCore::TakeCommitted(Ready* ready) {
  size_t bytes = 0;
  while (applied_index_ < commit_index_ && bytes < options_.max_apply_bytes) {
    const storage::LogEntry& entry = log_.Entry(++applied_index_);
    bytes += entry.data().size() + 1;
    ready->committed.push_back(entry);
  }
}

}  // namespace posthatch::consensus
