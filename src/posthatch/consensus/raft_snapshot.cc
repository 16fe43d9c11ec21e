// Log compaction and the transfer of snapshots in chunks. One chunk is in flight per follower; a
// lost chunk is retransmitted with a heartbeat.
#include <algorithm>

#include "posthatch/consensus/cluster_configuration.h"
#include "posthatch/consensus/raft_core.h"

namespace posthatch::consensus {

using runtime::MonotonicTime;

namespace {

constexpr uint64_t kMaxSnapshotBytes = 1u << 30;

bool SameSnapshot(const storage::SnapshotMetadata& left, const storage::SnapshotMetadata& right) {
  return left.index() == right.index() && left.term() == right.term();
}

}  // namespace

// Returns the index up to which the log may be compacted, given a snapshot at `snapshot_index`.
uint64_t RaftCore::CompactionIndex(uint64_t snapshot_index, const LogRetention& retention,
                                   MonotonicTime now) const {
  const uint64_t end = std::min(snapshot_index, durable_index_);
  uint64_t compact_to = end;
  uint64_t bytes = 0;
  while (compact_to > log_.base_index() && end - compact_to < retention.entries) {
    bytes += log_.Entry(compact_to).data().size();
    if (bytes > retention.bytes) break;
    --compact_to;
  }
  // A live follower that is receiving an older snapshot needs the entries after that snapshot.
  for (const auto& [id, progress] : progress_) {
    const bool alive = now - progress.last_response_at < options_.election_timeout_max;
    if (alive && progress.snapshot != nullptr) {
      compact_to = std::min(compact_to, progress.snapshot->metadata.index());
    }
  }
  return compact_to;
}

void RaftCore::OnSnapshotTaken(const std::shared_ptr<const storage::Snapshot>& snapshot,
                               const LogRetention& retention, MonotonicTime now) {
  if (snapshot_ != nullptr && snapshot->metadata.index() <= snapshot_->metadata.index()) return;
  snapshot_ = snapshot;
  const uint64_t index = snapshot->metadata.index();
  const uint64_t compact_to = CompactionIndex(index, retention, now);
  if (compact_to > log_.base_index()) log_.CompactTo(compact_to);
  while (configurations_.size() > 1 && configurations_[1].index <= index) {
    configurations_.erase(configurations_.begin());
  }
}

void RaftCore::StartSnapshot(uint64_t to, Progress* progress, MonotonicTime now) {
  if (snapshot_ == nullptr) return;
  progress->mode = Progress::Mode::kSnapshot;
  progress->snapshot = snapshot_;
  progress->snapshot_offset = 0;
  progress->in_flight.clear();
  SendChunk(to, progress, now);
}

void RaftCore::SendChunk(uint64_t to, Progress* progress, MonotonicTime now) {
  const storage::Snapshot& snapshot = *progress->snapshot;
  RaftMessage message = NewMessage(to);
  SnapshotChunk* chunk = message.mutable_snapshot_chunk();
  *chunk->mutable_metadata() = snapshot.metadata;
  chunk->set_total_bytes(snapshot.data.size());
  chunk->set_offset(progress->snapshot_offset);
  chunk->set_data(snapshot.data.substr(progress->snapshot_offset, options_.snapshot_chunk_bytes));
  chunk->set_sent_at_ns(runtime::ToNanoseconds(now));
  chunk->set_read_sequence(read_sequence_);
  progress->chunk_sent_at = now;
  Send(std::move(message));
}

void RaftCore::HandleSnapshotResponse(const RaftMessage& message, MonotonicTime now) {
  const auto found = progress_.find(message.from());
  if (!IsLeader() || found == progress_.end()) return;
  Progress* progress = &found->second;
  const SnapshotResponse& response = message.snapshot_response();
  RecordContact(progress, response.sent_at_ns(), response.read_sequence(), now);
  if (progress->mode != Progress::Mode::kSnapshot ||
      response.snapshot_index() != progress->snapshot->metadata.index() ||
      response.next_offset() > progress->snapshot->data.size()) {
    return;
  }
  const bool offset_changed = response.next_offset() != progress->snapshot_offset;
  progress->snapshot_offset = response.next_offset();
  if (offset_changed && progress->snapshot_offset < progress->snapshot->data.size()) {
    SendChunk(message.from(), progress, now);
  }
}

uint64_t RaftCore::ReceiveChunk(const SnapshotChunk& chunk) {
  const storage::SnapshotMetadata& metadata = chunk.metadata();
  if (installing_ != nullptr) {
    return SameSnapshot(installing_->metadata, metadata) ? chunk.total_bytes() : 0;
  }
  if (chunk.offset() == 0 || !receiving_.has_value() ||
      !SameSnapshot(receiving_->metadata, metadata)) {
    receiving_ = ReceivedSnapshot{metadata, chunk.total_bytes(), std::string()};
  }
  const size_t missing_bytes = receiving_->total_bytes - receiving_->data.size();
  if (chunk.offset() == receiving_->data.size() && chunk.data().size() <= missing_bytes &&
      receiving_->total_bytes <= kMaxSnapshotBytes) {
    receiving_->data += chunk.data();
  }
  const uint64_t next_offset = receiving_->data.size();
  if (next_offset == receiving_->total_bytes) {
    auto snapshot = std::make_shared<storage::Snapshot>();
    snapshot->metadata = metadata;
    snapshot->data = std::move(receiving_->data);
    receiving_.reset();
    installing_ = std::move(snapshot);
    install_taken_ = false;
  }
  return next_offset;
}

void RaftCore::HandleSnapshotChunk(const RaftMessage& message, MonotonicTime now) {
  if (IsLeader()) return;
  if (role_ != Role::kFollower) BecomeFollower(term(), message.from(), now);
  leader_id_ = message.from();
  leader_contact_at_ = now;
  leader_contact_assumed_ = false;
  ResetElectionTimer(now);
  const SnapshotChunk& chunk = message.snapshot_chunk();
  const storage::SnapshotMetadata& metadata = chunk.metadata();
  if (metadata.index() <= commit_index_) {
    verified_index_ = std::max(verified_index_, commit_index_);
    return SendAppendResponse(message.from(), chunk.sent_at_ns(), chunk.read_sequence());
  }
  const uint64_t next_offset = ReceiveChunk(chunk);
  RaftMessage reply = NewMessage(message.from());
  SnapshotResponse* response = reply.mutable_snapshot_response();
  response->set_snapshot_index(metadata.index());
  response->set_next_offset(next_offset);
  response->set_sent_at_ns(chunk.sent_at_ns());
  response->set_read_sequence(chunk.read_sequence());
  Send(std::move(reply));
}

void RaftCore::OnSnapshotInstalled(const std::shared_ptr<const storage::Snapshot>& snapshot,
                                   MonotonicTime) {
  installing_.reset();
  const uint64_t index = snapshot->metadata.index();
  if (index <= applied_index_) return;
  const bool log_continues = log_.Term(index) == snapshot->metadata.term();
  if (!log_continues) {
    log_.Reset(index, snapshot->metadata.term());
    reset_.emplace();
    reset_->set_index(index);
    reset_->set_term(snapshot->metadata.term());
    first_unstaged_ = index + 1;
    durable_index_ = index;
    for (StagedBatch& batch : staged_batches_) batch.last_index = 0;
    configurations_.clear();
  }
  snapshot_ = snapshot;
  durable_index_ = std::max(durable_index_, index);
  commit_index_ = std::max(commit_index_, index);
  applied_index_ = index;
  verified_index_ = std::max(verified_index_, index);
  while (!configurations_.empty() && configurations_.front().index <= index) {
    configurations_.erase(configurations_.begin());
  }
  std::vector<ConfigurationEntry> later = std::move(configurations_);
  configurations_.clear();
  AdoptConfiguration(index, ParseConfiguration(snapshot->metadata.configuration()));
  configurations_.insert(configurations_.end(), later.begin(), later.end());
  if (leader_id_ != 0 && !IsLeader()) {
    SendAppendResponse(leader_id_, newest_append_sent_at_ns_, newest_read_sequence_);
  }
}

}  // namespace posthatch::consensus
