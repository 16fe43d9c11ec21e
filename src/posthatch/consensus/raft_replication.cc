// Log replication, commit and linearizable reads.
#include <algorithm>

#include "posthatch/consensus/cluster_configuration.h"
#include "posthatch/consensus/raft_core.h"

namespace posthatch::consensus {

using runtime::MonotonicTime;

bool RaftCore::CurrentTermCommitted() const {
  return IsLeader() && commit_index_ >= term_start_index_;
}

// Leader.

// A leader that was delayed has sent no heartbeats meanwhile and hasn't read the responses that
// arrived. It stays leader until it has run for a heartbeat interval without a quorum. That is
// safe: without a quorum it confirms no reads, accepts no commands and holds no lease.
bool RaftCore::ShouldStepDown(runtime::Duration since_last_tick, MonotonicTime now) {
  if (!HasLostQuorum(now)) {
    ran_without_quorum_for_ = runtime::Duration::zero();
    return false;
  }
  ran_without_quorum_for_ += std::min(since_last_tick, options_.heartbeat_interval / 4);
  return ran_without_quorum_for_ >= options_.heartbeat_interval;
}

void RaftCore::LeaderTick(runtime::Duration since_last_tick, MonotonicTime now) {
  if (ShouldStepDown(since_last_tick, now)) return BecomeFollower(term(), 0, now);
  AdvanceTransfer(now);
  if (!IsLeader() || now < next_heartbeat_) return;
  RunMembershipPolicy(now);
  BroadcastHeartbeat(now);
}

void RaftCore::BroadcastHeartbeat(MonotonicTime now) {
  next_heartbeat_ = now + options_.heartbeat_interval;
  last_heartbeat_ = now;
  commit_at_last_heartbeat_ = commit_index_;
  for (auto& [id, progress] : progress_) SendHeartbeat(id, &progress, now);
}

RaftMessage RaftCore::NewAppend(uint64_t to, uint64_t prev_index, uint64_t prev_term,
                                MonotonicTime now) const {
  RaftMessage message = NewMessage(to);
  AppendRequest* request = message.mutable_append_request();
  request->set_prev_index(prev_index);
  request->set_prev_term(prev_term);
  request->set_commit_index(commit_index_);
  request->set_sent_at_ns(runtime::ToNanoseconds(now));
  request->set_read_sequence(read_sequence_);
  return message;
}

// A heartbeat is an append without entries. It carries the index before the next entry, so that a
// follower that missed earlier entries rejects it.
void RaftCore::SendHeartbeat(uint64_t to, Progress* progress, MonotonicTime now) {
  if (progress->mode == Progress::Mode::kSnapshot) {
    const storage::SnapshotMetadata& metadata = progress->snapshot->metadata;
    Send(NewAppend(to, metadata.index(), metadata.term(), now));
    if (now - progress->chunk_sent_at >= 2 * options_.heartbeat_interval) {
      SendChunk(to, progress, now);
    }
    return;
  }
  const std::optional<uint64_t> prev_term = log_.Term(progress->next - 1);
  if (!prev_term.has_value()) return StartSnapshot(to, progress, now);
  progress->probe_sent = false;
  Send(NewAppend(to, progress->next - 1, *prev_term, now));
}

void RaftCore::SendEntries(uint64_t to, Progress* progress, MonotonicTime now) {
  while (progress->mode != Progress::Mode::kSnapshot && progress->next <= log_.last_index()) {
    const bool probing = progress->mode == Progress::Mode::kProbe;
    if (probing && progress->probe_sent) return;
    if (!probing && progress->in_flight.size() >= options_.max_in_flight_appends) return;
    const uint64_t prev_index = progress->next - 1;
    const std::optional<uint64_t> prev_term = log_.Term(prev_index);
    if (!prev_term.has_value()) return StartSnapshot(to, progress, now);
    RaftMessage message = NewAppend(to, prev_index, *prev_term, now);
    size_t bytes = 0;
    uint64_t index = progress->next;
    for (; index <= log_.last_index() && bytes < options_.max_append_bytes; ++index) {
      *message.mutable_append_request()->add_entries() = log_.Entry(index);
      bytes += log_.Entry(index).data().size() + sizeof(storage::LogEntry);
    }
    if (probing) {
      progress->probe_sent = true;
    } else {
      progress->next = index;
      progress->in_flight.push_back(index - 1);
    }
    Send(std::move(message));
  }
}

void RaftCore::RecordContact(Progress* progress, int64_t sent_at_ns, uint64_t read_sequence,
                             MonotonicTime now) {
  const MonotonicTime sent_at = runtime::FromNanoseconds(sent_at_ns);
  if (sent_at > now) return;
  if (!progress->last_contact.has_value() || sent_at > *progress->last_contact)
    progress->last_contact = sent_at;
  progress->last_response_at = now;
  progress->read_sequence = std::max(progress->read_sequence, read_sequence);
}

void RaftCore::HandleAppendResponse(const RaftMessage& message, MonotonicTime now) {
  const auto found = progress_.find(message.from());
  if (!IsLeader() || found == progress_.end()) return;
  Progress* progress = &found->second;
  const AppendResponse& response = message.append_response();
  RecordContact(progress, response.sent_at_ns(), response.read_sequence(), now);
  progress->sync_p95_us = response.sync_p95_us();
  if (!response.success()) return HandleRejection(response, progress);
  const uint64_t last = log_.last_index();
  progress->match = std::max(progress->match, std::min(response.match_index(), last));
  progress->next = std::max(progress->next, std::min(response.verified_index(), last) + 1);
  while (!progress->in_flight.empty() && progress->in_flight.front() <= progress->match) {
    progress->in_flight.pop_front();
  }
  if (progress->mode == Progress::Mode::kProbe) {
    progress->mode = Progress::Mode::kReplicate;
  } else if (progress->mode == Progress::Mode::kSnapshot &&
             progress->match >= progress->snapshot->metadata.index()) {
    progress->mode = Progress::Mode::kReplicate;
    progress->next = progress->match + 1;
    progress->snapshot.reset();
  }
  AdvanceCommit();
  AdvanceTransfer(now);
}

void RaftCore::HandleRejection(const AppendResponse& response, Progress* progress) {
  if (progress->mode == Progress::Mode::kSnapshot) return;
  const uint64_t rejected = response.rejected_index();
  const bool probing = progress->mode == Progress::Mode::kProbe;
  const bool stale = rejected <= progress->match || (probing && rejected != progress->next - 1);
  if (stale) return;
  progress->mode = Progress::Mode::kProbe;
  progress->probe_sent = false;
  progress->in_flight.clear();
  progress->next = std::max(progress->match + 1, std::min(rejected, response.reject_hint() + 1));
}

// An entry is committed once it is durable on a majority of the voters, including the leader's own
// disk, and only if it is of the leader's term (section 3.6.2).
void RaftCore::AdvanceCommit() {
  const uint64_t majority_index = MajorityValue(configuration(), [this](uint64_t id) -> uint64_t {
    if (id == replica_id()) return durable_index_;
    const auto found = progress_.find(id);
    return found == progress_.end() ? 0 : found->second.match;
  });
  if (majority_index <= commit_index_ || log_.Term(majority_index) != term()) return;
  while (commit_index_ < majority_index) {
    uncommitted_bytes_ -= std::min(uncommitted_bytes_, log_.Entry(++commit_index_).data().size());
  }
}

// Follower.

void RaftCore::HandleAppendRequest(const RaftMessage& message, MonotonicTime now) {
  if (IsLeader()) return;
  if (role_ != Role::kFollower) BecomeFollower(term(), message.from(), now);
  const AppendRequest& request = message.append_request();
  if (leader_id_ != message.from()) {
    leader_id_ = message.from();
    newest_append_sent_at_ns_ = 0;
    newest_read_sequence_ = 0;
  }
  leader_contact_at_ = now;
  leader_contact_assumed_ = false;
  ResetElectionTimer(now);
  newest_append_sent_at_ns_ = std::max(newest_append_sent_at_ns_, request.sent_at_ns());
  newest_read_sequence_ = std::max(newest_read_sequence_, request.read_sequence());
  const bool prev_matches = request.prev_index() <= commit_index_ ||
                            log_.Term(request.prev_index()) == request.prev_term();
  if (!prev_matches || installing_ != nullptr) return RejectAppend(message);
  if (!AppendMissingEntries(request)) return;
  const uint64_t end = request.prev_index() + static_cast<uint64_t>(request.entries_size());
  verified_index_ = std::max({verified_index_, end, commit_index_});
  commit_index_ = std::max(commit_index_, std::min(request.commit_index(), verified_index_));
  SendAppendResponse(message.from(), request.sent_at_ns(), request.read_sequence());
}

// Appends the entries that the log lacks, truncating it where they conflict. False if the request
// is malformed.
bool RaftCore::AppendMissingEntries(const AppendRequest& request) {
  uint64_t expected = request.prev_index();
  for (const storage::LogEntry& entry : request.entries()) {
    if (entry.index() != ++expected || entry.term() > term()) return false;
  }
  for (const storage::LogEntry& entry : request.entries()) {
    if (entry.index() <= commit_index_ || log_.Term(entry.index()) == entry.term()) continue;
    if (entry.index() <= log_.last_index()) TruncateLog(entry.index());
    AppendToLog(entry);
  }
  return true;
}

void RaftCore::RejectAppend(const RaftMessage& message) {
  const AppendRequest& request = message.append_request();
  uint64_t hint = std::min(log_.last_index(), request.prev_index() - 1);
  // Skips the whole conflicting term to reduce the number of probes (Raft paper, section 5.3).
  const std::optional<uint64_t> conflict_term = log_.Term(request.prev_index());
  while (conflict_term.has_value() && hint > commit_index_ && log_.Term(hint) == conflict_term) {
    --hint;
  }
  RaftMessage reply = NewMessage(message.from());
  AppendResponse* response = reply.mutable_append_response();
  response->set_success(false);
  response->set_reject_hint(hint);
  response->set_rejected_index(request.prev_index());
  response->set_sent_at_ns(request.sent_at_ns());
  response->set_read_sequence(request.read_sequence());
  response->set_sync_p95_us(sync_p95_us_);
  Send(std::move(reply));
}

// Sent immediately, for the leader's quorum check, and again when more of the log is durable.
void RaftCore::SendAppendResponse(uint64_t to, int64_t sent_at_ns, uint64_t read_sequence) {
  RaftMessage reply = NewMessage(to);
  AppendResponse* response = reply.mutable_append_response();
  response->set_success(true);
  response->set_verified_index(verified_index_);
  response->set_match_index(std::min(verified_index_, durable_index_));
  response->set_sent_at_ns(sent_at_ns);
  response->set_read_sequence(read_sequence);
  response->set_sync_p95_us(sync_p95_us_);
  Send(std::move(reply));
}

// Linearizable reads.

absl::StatusOr<uint64_t> RaftCore::RequestRead(MonotonicTime now) {
  if (!IsLeader()) return absl::FailedPreconditionError("not leader");
  if (HasLostQuorum(now)) {
    return absl::FailedPreconditionError("not leader: no response from a majority");
  }
  reads_.push_back({next_read_id_++});
  return reads_.back().id;
}

// Assigns the new reads a common read sequence and the current commit index. They are confirmed
// once a majority has responded to a message sent from now on (section 6.4).
void RaftCore::StartReadConfirmation(MonotonicTime now) {
  if (reads_.empty() || reads_.back().sequence != 0 || !CurrentTermCommitted()) return;
  ++read_sequence_;
  for (PendingRead& read : reads_) {
    if (read.sequence != 0) continue;
    read.sequence = read_sequence_;
    read.index = commit_index_;
  }
  for (auto& [id, progress] : progress_) {
    if (IsVoter(configuration(), id)) SendHeartbeat(id, &progress, now);
  }
}

bool RaftCore::OldestReadConfirmed(MonotonicTime now) const {
  const PendingRead& read = reads_.front();
  if (read.sequence == 0 || read.index > applied_index_ || !HasQuorum(now)) return false;
  return MajorityHas(configuration(), [this, &read](uint64_t id) {
    if (id == replica_id()) return true;
    const auto found = progress_.find(id);
    return found != progress_.end() && found->second.read_sequence >= read.sequence;
  });
}

void RaftCore::CollectConfirmedReads(Ready* ready, MonotonicTime now) {
  while (IsLeader() && !reads_.empty() && OldestReadConfirmed(now)) {
    ready->reads.push_back(reads_.front().id);
    reads_.pop_front();
  }
}

}  // namespace posthatch::consensus
