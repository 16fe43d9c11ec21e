#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "posthatch/runtime/file_system.h"
#include "posthatch/storage/log_recovery.h"

namespace posthatch::storage {

// The snapshot's file form: magic, format version, lengths, checksums, metadata, data.
std::string EncodeSnapshot(const Snapshot& snapshot);
// Errors: DataLoss (anything damaged or missing), FailedPrecondition (unknown format version).
absl::StatusOr<Snapshot> ParseSnapshot(std::string_view contents);

// Writes snapshots: to a temporary file in pieces (so that log writes get in between), synced,
// renamed, folder synced. One at a time. Event loop thread only; must not be destroyed with a
// write whose `done` matters: it is not called then.
class SnapshotWriter {
 public:
  using Done = std::function<void(absl::Status)>;

  SnapshotWriter(runtime::FileSystem* file_system, std::string directory);

  bool busy() const { return busy_; }
  // Calls `done` when the snapshot is durable under its final name, and then removes the one
  // written before. Errors leave the former snapshot as it was: ResourceExhausted (disk full: may
  // be tried again), Internal. Must not be called while busy().
  void Write(const Snapshot& snapshot, Done done);
  // Tells which snapshot recovery found, to be removed after the next one.
  void SetPrevious(uint64_t index) { previous_index_ = index; }

 private:
  void WriteChunk();
  void Publish();
  void Finish(absl::Status status);
  // Wraps a completion so that it is dropped once this object is gone.
  runtime::FileSystem::Done Guard(std::function<void(absl::Status)> next);

  runtime::FileSystem* const file_system_;
  const std::string directory_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  bool busy_ = false;
  uint64_t index_ = 0;
  uint64_t previous_index_ = 0;
  std::string contents_;
  size_t written_ = 0;
  Done done_;
};

}  // namespace posthatch::storage
