#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "posthatch/runtime/file_system.h"
#include "posthatch/storage/log_record.pb.h"

namespace posthatch::storage {

// A snapshot as it is on disk and on its way to a follower.
struct Snapshot {
  SnapshotMetadata metadata;
  std::string data;
};

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
  HardState hard_state;  // replica_id 0: nothing was ever durable in this folder
  // Entries from base_index + 1 on, without gaps.
  std::vector<LogEntry> entries;
  uint64_t base_index = 0;
  uint64_t base_term = 0;
  std::vector<SegmentInfo> segments;
  uint64_t next_sequence = 1;
  // What must be done (and synced) before the folder is written to: cutting off a torn tail,
  // syncing what a killed process wrote but did not sync.
  std::vector<runtime::FileOperation> repairs;
};

// Puts segments (rising by sequence) and the newest snapshot's metadata together. Pure: reads no
// files. Errors: DataLoss (corruption, a missing segment, a gap between snapshot and log),
// FailedPrecondition (unknown format version).
absl::StatusOr<RecoveredLog> RecoverLog(const std::string& directory,
                                        const std::vector<SegmentFile>& files,
                                        const std::optional<SnapshotMetadata>& snapshot);

struct RecoveredDirectory {
  RecoveredLog log;
  std::optional<Snapshot> snapshot;
};

// Reads `folder` of `file_system` (blocking) and recovers it. A missing folder is an empty one.
absl::StatusOr<RecoveredDirectory> RecoverDirectory(runtime::FileSystem* file_system,
                                                    const std::string& directory);

// Path of segment `sequence` in `folder`.
std::string SegmentPath(const std::string& directory, uint64_t sequence);
// Path of the snapshot at `index` in `folder`.
std::string SnapshotPath(const std::string& directory, uint64_t index);

}  // namespace posthatch::storage
