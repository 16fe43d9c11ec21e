#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "posthatch/runtime/file_system.h"
#include "posthatch/storage/log_record.pb.h"

namespace posthatch::storage {

struct SegmentFile {
  uint64_t sequence = 0;
  std::string contents;
};

// A recovered segment that stays on disk; input of LogWriter.
struct SegmentInfo {
  uint64_t sequence = 0;
  uint64_t max_index = 0;  // highest entry index in the segment; 0 if it has no entries
};

struct RecoveredLog {
  HardState hard_state;  // replica_id 0: nothing in this directory was ever durable
  // Entries from base_index + 1, without gaps.
  std::vector<LogEntry> entries;
  uint64_t base_index = 0;
  uint64_t base_term = 0;
  std::vector<SegmentInfo> segments;
  uint64_t next_sequence = 1;
  // Operations that must complete before the directory is written to: truncating a torn tail, and
  // syncing what a killed process wrote but did not sync.
  std::vector<runtime::FileOperation> repairs;
};

// Replays the segments, which must be in ascending order of sequence, and aligns the log with the
// metadata of the newest snapshot. Does no I/O. Errors: DataLoss (corruption, a missing segment, a
// gap between snapshot and log), FailedPrecondition (unknown format version).
absl::StatusOr<RecoveredLog> RecoverLog(const std::string& directory,
                                        const std::vector<SegmentFile>& files,
                                        const std::optional<SnapshotMetadata>& snapshot);

}  // namespace posthatch::storage
