#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "posthatch/runtime/clock.h"
#include "posthatch/runtime/file_system.h"
#include "posthatch/runtime/timer_service.h"
#include "posthatch/storage/log_replay.h"
#include "posthatch/util/lifetime.h"

namespace posthatch::storage {

struct LogWriterOptions {
  std::string directory = "raft";  // relative to the data folder; contains segments and snapshots
  uint64_t segment_bytes = 8u << 20;  // size from which a new segment is started
  // Delay between a write that failed because the disk was full and the next attempt.
  runtime::Duration full_disk_retry_interval = std::chrono::milliseconds(250);
};

// Records that are made durable together, written in this order: reset, entries, hard state.
struct LogBatch {
  std::optional<LogReset> reset;
  std::vector<LogEntry> entries;
  std::optional<HardState> hard_state;
};

// Appends to the segmented log with group commit: while a write is in flight, further batches are
// queued and written together by the next write, with one sync. If the disk is full, the segment is
// truncated to its synced size and the write is retried until it succeeds. Any other error stops
// the writer permanently, since after a failed sync the content of the file is unknown. Owned by
// consensus::RaftReplica; event loop thread only. Callbacks pending at destruction are not called.
class LogWriter {
 public:
  // Called with OK once the batch is durable, or with the error that stopped the writer.
  using Done = std::function<void(absl::Status)>;
  // Called after each write with its duration, including the sync.
  using SyncObserver = std::function<void(runtime::Duration)>;

  // The pointers must outlive this object; `recovered` is what RecoverLog returned for the
  // directory.
  LogWriter(runtime::FileSystem* file_system, runtime::Clock* clock, runtime::TimerService* timers,
            LogWriterOptions options, const RecoveredLog& recovered);
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  void SetSyncObserver(SyncObserver observer) { sync_observer_ = std::move(observer); }
  // Runs the repairs of recovery, then calls `done`. The recovered state is durable only then.
  void Open(Done done);
  void Append(LogBatch batch, Done done);
  // Removes the segments that contain only entries up to `index`, oldest first. A snapshot that
  // covers at least `index` must be durable.
  void RemovePrefix(uint64_t index);

  bool disk_full() const { return disk_full_; }
  // Time that the write in flight has taken so far; zero if there is none.
  runtime::Duration InFlightTime() const;
  uint64_t segment_count() const { return segments_.size(); }

 private:
  struct PendingBatch {
    LogBatch batch;
    Done done;
  };
  void WriteNext();
  void EncodePending();
  void SubmitEncoded();
  void OnWritten(const absl::Status& status);
  void Fail(const absl::Status& status);

  runtime::FileSystem* const file_system_;
  runtime::Clock* const clock_;
  const LogWriterOptions options_;
  runtime::Timer retry_timer_;
  SyncObserver sync_observer_;

  std::vector<runtime::FileOperation> repairs_;
  HardState hard_state_;  // newest written or pending state, repeated at the head of each segment
  std::vector<SegmentInfo> segments_;  // the last one is appended to if segment_open_
  uint64_t next_sequence_;
  bool segment_open_ = false;
  uint64_t synced_bytes_ = 0;  // synced size of the segment being written
  uint64_t encoded_max_index_ = 0;

  std::vector<PendingBatch> pending_;
  std::vector<Done> in_flight_;
  std::string encoded_;  // data of the write in flight, kept for retries
  bool writing_ = false;
  bool write_attempted_ = false;  // the file may already contain part of `encoded_`
  bool disk_full_ = false;
  absl::Status failure_;
  runtime::MonotonicTime write_started_;
  util::Lifetime lifetime_;
};

}  // namespace posthatch::storage
