#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "absl/status/status.h"
#include "posthatch/runtime/file_system.h"
#include "posthatch/storage/snapshot_file.h"
#include "posthatch/util/lifetime.h"

namespace posthatch::storage {

// Writes snapshots atomically, one at a time: writes a temporary file in chunks (so that log writes
// can be interleaved), syncs it, renames it and syncs the directory. Event loop thread only. `done`
// is not called if the writer is destroyed during a write.
class SnapshotWriter {
 public:
  using Done = std::function<void(absl::Status)>;

  // `file_system` must outlive this object.
  SnapshotWriter(runtime::FileSystem* file_system, std::string directory);
  SnapshotWriter(const SnapshotWriter&) = delete;
  SnapshotWriter& operator=(const SnapshotWriter&) = delete;

  bool busy() const { return busy_; }
  // Calls `done` when the snapshot is durable under its final name; the previous one is then
  // removed. Errors leave the previous snapshot unchanged: ResourceExhausted (disk full: may be
  // retried), Internal. Must not be called while busy().
  void Write(const Snapshot& snapshot, Done done);
  // Sets the index of the recovered snapshot (0 for none), which the next write replaces.
  void SetPrevious(uint64_t index) { previous_index_ = index; }

 private:
  void WriteChunk();
  void Publish();
  void Finish(absl::Status status);
  void RemoveObsoleteFile(bool written);

  runtime::FileSystem* const file_system_;
  const std::string directory_;
  bool busy_ = false;
  uint64_t index_ = 0;
  uint64_t previous_index_ = 0;
  std::string contents_;
  size_t written_bytes_ = 0;
  Done done_;
  util::Lifetime lifetime_;
};

}  // namespace posthatch::storage
