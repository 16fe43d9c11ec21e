#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "posthatch/storage/log_record.pb.h"

namespace posthatch::storage {

// A snapshot of the state machine, as stored on disk and sent to followers.
struct Snapshot {
  SnapshotMetadata metadata;
  std::string data;
};

// Encodes the contents of a snapshot file: magic, format version, lengths, checksums, metadata,
// data.
std::string EncodeSnapshot(const Snapshot& snapshot);
// Errors: DataLoss (damaged or truncated), FailedPrecondition (unknown format version).
absl::StatusOr<Snapshot> ParseSnapshot(std::string_view contents);

}  // namespace posthatch::storage
