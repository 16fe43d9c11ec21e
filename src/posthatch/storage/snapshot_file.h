#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "posthatch/storage/log_record.pb.h"

namespace posthatch::storage {

// A snapshot of the state machine, on disk and when it is sent to a follower.
struct Snapshot {
  SnapshotMetadata metadata;
  std::string data;
};

// The snapshot's file form: magic, format version, lengths, checksums, metadata, data.
std::string EncodeSnapshot(const Snapshot& snapshot);
// Errors: DataLoss (anything damaged or missing), FailedPrecondition (unknown format version).
absl::StatusOr<Snapshot> ParseSnapshot(std::string_view contents);

}  // namespace posthatch::storage
