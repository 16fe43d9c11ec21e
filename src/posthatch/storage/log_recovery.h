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

// Reads a replica's data directory `directory` (blocking) and recovers the log and the newest
// snapshot. A missing directory is treated as empty. Errors: those of RecoverLog, ParseSnapshot and
// `file_system`.
absl::StatusOr<RecoveredDirectory> RecoverDirectory(runtime::FileSystem* file_system,
                                                    const std::string& directory);

}  // namespace posthatch::storage
