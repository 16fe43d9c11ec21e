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
  std::string directory = "raft";     // below the process's data, holds segments and snapshots
  uint64_t segment_bytes = 8u << 20;  // a new segment is started once one is this long
  // From a write that failed because the disk was full to the next attempt.
  runtime::Duration full_disk_retry_interval = std::chrono::milliseconds(250);
};

// What is made durable together. Written in this order: reset, entries, hard state.
struct LogBatch {
  std::optional<LogReset> reset;
  std::vector<LogEntry> entries;
  std::optional<HardState> hard_state;
};

// Appends to the segmented log with group commit: while one write is in flight, further batches are
// queued and written by the next, with one sync for all. A full disk is no failure: the segment is
// truncated to what was synced and the write is retried until it fits. Any other error ends the
// writer: after a failed sync the content of the file is unknown. Owned by consensus::RaftReplica;
// event loop thread only. Callbacks pending at destruction are not called.
class LogWriter {
 public:
  // Called once the batch is durable, or with the error that ended the writer.
  using Done = std::function<void(absl::Status)>;
  // Called after each write with the time that it and its sync took.
  using SyncObserver = std::function<void(runtime::Duration)>;

  // The pointers must outlive this object; `recovered` is what RecoverLog returned for the
  // directory.
  LogWriter(runtime::FileSystem* file_system, runtime::Clock* clock, runtime::TimerService* timers,
            LogWriterOptions options, const RecoveredLog& recovered);
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  void SetSyncObserver(SyncObserver observer) { sync_observer_ = std::move(observer); }
  // Runs recovery's repairs, then calls `done`. What was recovered counts as durable only then.
  void Open(Done done);
  void Append(LogBatch batch, Done done);
  // Removes segments that hold only entries up to `index`, oldest first. The caller has made a
  // snapshot durable that reaches at least this far.
  void RemovePrefix(uint64_t index);

  bool disk_full() const { return disk_full_; }
  // How long the write in flight has taken so far; zero if there is none.
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
  HardState hard_state_;  // newest written or pending: repeated at the head of each segment
  std::vector<SegmentInfo> segments_;  // the last one is being written, if segment_open_
  uint64_t next_sequence_;
  bool segment_open_ = false;
  uint64_t synced_bytes_ = 0;  // of the segment being written
  uint64_t encoded_max_index_ = 0;

  std::vector<PendingBatch> pending_;
  std::vector<Done> in_flight_;
  std::string encoded_;  // bytes of the write in flight, kept for a retry
  bool writing_ = false;
  bool write_attempted_ = false;  // the bytes in flight may already be in the file, in part
  bool disk_full_ = false;
  absl::Status failure_;
  runtime::MonotonicTime write_started_;
  util::Lifetime lifetime_;
};

}  // namespace posthatch::storage
