#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "posthatch/runtime/file_system.h"
#include "posthatch/runtime/random.h"

namespace posthatch::simulation {

// The data folder of one host, which outlives its processes. File contents are durable up to the
// last kSync, folder entries up to the last kSyncDirectory of their folder; PowerLoss drops the
// rest. Owned by the host.
class SimDisk {
 public:
  explicit SimDisk(runtime::Random* random);

  // Errors: ResourceExhausted (disk full; an append may have written a part), NotFound,
  // FailedPrecondition (a folder where a file is expected, or the other way round).
  absl::Status Apply(const runtime::FileOperation& operation);
  absl::StatusOr<std::string> ReadFile(const std::string& path) const;
  absl::StatusOr<std::vector<std::string>> ListDirectory(const std::string& path) const;

  // Drops what was not synced; a random prefix of a file's unsynced tail may remain.
  void PowerLoss();
  // Empties the data folder.
  void Wipe();
  void set_full(bool full) { full_ = full; }

 private:
  // A file's content; entries of several names (before and after a rename) may share it.
  struct File {
    std::string content;
    std::string durable_content;
  };
  // An entry without a file is a folder.
  using Entries = std::map<std::string, std::shared_ptr<File>>;

  static std::string Normalize(const std::string& path);
  static std::string ParentOf(const std::string& path);
  bool IsDirectory(const std::string& path) const;
  absl::StatusOr<std::shared_ptr<File>> FindFile(const std::string& path) const;
  absl::StatusOr<std::shared_ptr<File>> FindOrCreateFile(const std::string& path);
  absl::Status Append(const std::string& path, const std::string& data);
  absl::Status Overwrite(const std::string& path, const std::string& data);
  absl::Status Rename(const std::string& path, const std::string& target);
  absl::Status Remove(const std::string& path);
  absl::Status Truncate(const std::string& path, uint64_t size);
  absl::Status CreateDirectory(const std::string& path);
  absl::Status SyncDirectory(const std::string& path);
  void RevertFile(File* file);

  runtime::Random* const random_;
  bool full_ = false;
  // Keyed by normalized path; the data folder itself has no entry.
  Entries entries_;
  Entries durable_entries_;
};

}  // namespace posthatch::simulation
