#pragma once

#include <cstdint>
#include <string>

#include "absl/status/statusor.h"

// Names of the files in a replica's data directory: "log-<sequence>" for segments of the log,
// "snapshot-<index>" for snapshots, with ".tmp" behind it while a snapshot is being written.
namespace posthatch::storage {

// Path of segment `sequence` in `directory`.
std::string SegmentPath(const std::string& directory, uint64_t sequence);
// Path of the snapshot at `index` in `directory`.
std::string SnapshotPath(const std::string& directory, uint64_t index);
// Where the snapshot at `index` is written before it gets its name.
std::string TemporarySnapshotPath(const std::string& directory, uint64_t index);

bool IsSegmentName(const std::string& name);
// False for a temporary file.
bool IsSnapshotName(const std::string& name);
bool IsTemporaryName(const std::string& name);

// The number in the name of a segment or a snapshot. DataLoss if there is none: the file is not
// ours, and what it means is not known.
absl::StatusOr<uint64_t> ParseSegmentName(const std::string& name);
absl::StatusOr<uint64_t> ParseSnapshotName(const std::string& name);

}  // namespace posthatch::storage
