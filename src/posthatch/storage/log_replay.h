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

// A segment that stays on disk, as the writer needs to know it.
struct SegmentInfo {
  uint64_t sequence = 0;
  uint64_t max_index = 0;  // highest entry index in it; 0 for none
};

struct RecoveredLog {
  HardState hard_state;  // replica_id 0: nothing was ever durable in this directory
  // Entries from base_index + 1 on, without gaps.
  std::vector<LogEntry> entries;
  uint64_t base_index = 0;
  uint64_t base_term = 0;
  std::vector<SegmentInfo> segments;
  uint64_t next_sequence = 1;
  // What must be done (and synced) before the directory is written to: cutting off a torn tail,
  // syncing what a killed process wrote but did not sync.
  std::vector<runtime::FileOperation> repairs;
};

// Replays the segments (rising by sequence) in the order they were written and aligns the log with
// the newest snapshot's metadata. Pure: reads no files. Errors: DataLoss (corruption, a missing
// segment, a gap between snapshot and log), FailedPrecondition (unknown format version).
absl::StatusOr<RecoveredLog> RecoverLog(const std::string& directory,
                                        const std::vector<SegmentFile>& files,
                                        const std::optional<SnapshotMetadata>& snapshot);

}  // namespace posthatch::storage
