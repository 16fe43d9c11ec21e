#pragma once

#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "posthatch/runtime/file_system.h"
#include "posthatch/storage/log_replay.h"
#include "posthatch/storage/snapshot_file.h"

namespace posthatch::storage {

struct RecoveredDirectory {
  RecoveredLog log;
  std::optional<Snapshot> snapshot;
};

// Reads a replica's data directory `directory` of `file_system` (blocking) and recovers log and
// newest snapshot. A missing directory is an empty one. Errors: as for RecoverLog and
// ParseSnapshot, and those of `file_system`.
absl::StatusOr<RecoveredDirectory> RecoverDirectory(runtime::FileSystem* file_system,
                                                    const std::string& directory);

}  // namespace posthatch::storage
