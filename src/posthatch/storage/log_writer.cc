#include "posthatch/storage/log_writer.h"

#include <algorithm>
#include <utility>

#include "posthatch/storage/file_names.h"
#include "posthatch/storage/file_operations.h"
#include "posthatch/storage/record_format.h"

namespace posthatch::storage {

using runtime::FileOperation;

LogWriter::LogWriter(runtime::FileSystem* file_system, runtime::Clock* clock,
                     runtime::TimerService* timers, LogWriterOptions options,
                     const RecoveredLog& recovered)
    : file_system_(file_system),
      clock_(clock),
      options_(std::move(options)),
      retry_timer_(timers),
      repairs_(recovered.repairs),
      hard_state_(recovered.hard_state),
      segments_(recovered.segments),
      next_sequence_(recovered.next_sequence) {}

void LogWriter::Open(Done done) {
  writing_ = true;
  write_started_ = clock_->Now();
  // Copied, since Open runs again if the disk is full; all operations are idempotent.
  std::vector<FileOperation> operations = repairs_;
  file_system_->Submit(std::move(operations),
                       lifetime_.Guard([this, done = std::move(done)](const absl::Status& status) {
                         disk_full_ = absl::IsResourceExhausted(status);
                         if (disk_full_) {
                           retry_timer_.Start(options_.full_disk_retry_interval,
                                              [this, done] { Open(done); });
                           return;
                         }
                         writing_ = false;
                         if (!status.ok()) failure_ = status;
                         done(status);
                         if (!writing_) WriteNext();
                       }));
}

void LogWriter::Append(LogBatch batch, Done done) {
  pending_.push_back({std::move(batch), std::move(done)});
  if (!writing_) WriteNext();
}

runtime::Duration LogWriter::InFlightTime() const {
  return writing_ ? clock_->Now() - write_started_ : runtime::Duration::zero();
}

void LogWriter::WriteNext() {
  if (!failure_.ok()) return Fail(failure_);
  if (pending_.empty()) return;
  writing_ = true;
  if (segment_open_ && synced_bytes_ >= options_.segment_bytes) segment_open_ = false;
  if (!segment_open_) {
    segment_open_ = true;
    synced_bytes_ = 0;
    segments_.push_back({next_sequence_++, 0});
  }
  EncodePending();
  write_attempted_ = false;
  SubmitEncoded();
}

void LogWriter::EncodePending() {
  encoded_.clear();
  encoded_max_index_ = 0;
  const uint64_t batch_start = synced_bytes_;
  const auto append = [this, batch_start](RecordType type, const std::string& payload) {
    AppendRecord(type, payload, batch_start, &encoded_);
  };
  if (synced_bytes_ == 0) {
    encoded_ = EncodeSegmentHeader(segments_.back().sequence);
    // Each segment repeats the hard state at its head, since earlier segments may be removed.
    append(RecordType::kHardState, hard_state_.SerializeAsString());
  }
  for (PendingBatch& pending : pending_) {
    const LogBatch& batch = pending.batch;
    if (batch.reset.has_value()) append(RecordType::kReset, batch.reset->SerializeAsString());
    for (const LogEntry& entry : batch.entries) {
      append(RecordType::kEntry, entry.SerializeAsString());
      encoded_max_index_ = std::max(encoded_max_index_, entry.index());
    }
    if (batch.hard_state.has_value()) {
      hard_state_ = *batch.hard_state;
      append(RecordType::kHardState, hard_state_.SerializeAsString());
    }
    in_flight_.push_back(std::move(pending.done));
  }
  pending_.clear();
}

void LogWriter::SubmitEncoded() {
  const std::string path = SegmentPath(options_.directory, segments_.back().sequence);
  std::vector<FileOperation> operations;
  if (write_attempted_) {
    operations.push_back(synced_bytes_ == 0 ? RemoveFile(path) : TruncateFile(path, synced_bytes_));
  }
  operations.push_back(AppendToFile(path, encoded_));
  operations.push_back(SyncFile(path));
  if (synced_bytes_ == 0) {
    operations.push_back(SyncDirectory(options_.directory));
  }
  write_attempted_ = true;
  write_started_ = clock_->Now();
  file_system_->Submit(std::move(operations),
                       lifetime_.Guard([this](const absl::Status& status) { OnWritten(status); }));
}

void LogWriter::OnWritten(const absl::Status& status) {
  if (absl::IsResourceExhausted(status)) {
    disk_full_ = true;
    retry_timer_.Start(options_.full_disk_retry_interval, [this] { SubmitEncoded(); });
    return;
  }
  if (!status.ok()) {
    failure_ = status;
    return Fail(status);
  }
  disk_full_ = false;
  writing_ = false;
  synced_bytes_ += encoded_.size();
  segments_.back().max_index = std::max(segments_.back().max_index, encoded_max_index_);
  if (sync_observer_) sync_observer_(clock_->Now() - write_started_);
  std::vector<Done> finished = std::move(in_flight_);
  in_flight_.clear();
  // The next write starts before the callbacks run, so that the disk is not idle meanwhile.
  WriteNext();
  for (Done& done : finished) done(absl::OkStatus());
}

void LogWriter::Fail(const absl::Status& status) {
  std::vector<Done> failed = std::move(in_flight_);
  in_flight_.clear();
  for (PendingBatch& pending : pending_) failed.push_back(std::move(pending.done));
  pending_.clear();
  writing_ = false;
  for (Done& done : failed) done(status);
}

void LogWriter::RemovePrefix(uint64_t index) {
  std::vector<FileOperation> operations;
  // Each removal is made durable before the next one, so that no gap between segments can arise.
  while (segments_.size() > 1 && segments_.front().max_index <= index) {
    operations.push_back(RemoveFile(SegmentPath(options_.directory, segments_.front().sequence)));
    operations.push_back(SyncDirectory(options_.directory));
    segments_.erase(segments_.begin());
  }
  if (operations.empty()) return;
  // Errors are ignored: a segment that was not removed is replayed at the next start.
  file_system_->Submit(std::move(operations), [](const absl::Status&) {});
}

}  // namespace posthatch::storage
