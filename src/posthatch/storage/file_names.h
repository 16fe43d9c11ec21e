#pragma once

#include <cstdint>
#include <string>

#include "absl/status/statusor.h"

// Names of the files in a replica's data directory: "log-<sequence>" for log segments,
// "snapshot-<index>" for snapshots, with the suffix ".tmp" while a snapshot is being written.
namespace posthatch::storage {

// Path of segment `sequence` in `directory`.
std::string SegmentPath(const std::string& directory, uint64_t sequence);
// Path of the snapshot at `index` in `directory`.
std::string SnapshotPath(const std::string& directory, uint64_t index);
// Path of the temporary file to which the snapshot at `index` is written before it is renamed.
std::string TemporarySnapshotPath(const std::string& directory, uint64_t index);

bool IsSegmentName(const std::string& name);
// False for a temporary file.
bool IsSnapshotName(const std::string& name);
bool IsTemporaryName(const std::string& name);

// Parses the number in the name of a segment or a snapshot. DataLoss if there is none, since the
// meaning of the file is unknown.
absl::StatusOr<uint64_t> ParseSegmentName(const std::string& name);
absl::StatusOr<uint64_t> ParseSnapshotName(const std::string& name);

}  // namespace posthatch::storage
