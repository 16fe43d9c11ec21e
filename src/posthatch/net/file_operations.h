#pragma once

#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "posthatch/runtime/file_system.h"

namespace posthatch::net {

// Maps `error_number` of a failed `operation` to ResourceExhausted (no space, quota), NotFound or
// Internal, with `path` in the message.
absl::Status FileError(const std::string& operation, const std::string& path, int error_number);

// InvalidArgument unless `path` is relative and stays below the data folder.
absl::Status CheckRelativePath(const std::string& path);

// Runs single operations below one folder. A file stays open after an append, for later ones. Disk
// thread only.
class FileOperations {
 public:
  explicit FileOperations(std::string root) : root_(std::move(root)) {}
  ~FileOperations() { CloseAll(); }
  FileOperations(const FileOperations&) = delete;
  FileOperations& operator=(const FileOperations&) = delete;

  absl::Status Run(const runtime::FileOperation& operation);
  // Whether an error has left the files in an uncertain state.
  bool uncertain() const { return uncertain_; }

 private:
  absl::StatusOr<int> OpenForAppend(const std::string& path);
  absl::Status Append(const std::string& path, const std::string& data);
  absl::Status Overwrite(const std::string& path, const std::string& data);
  absl::Status Sync(const std::string& path);
  absl::Status SyncDirectory(const std::string& path);
  absl::Status Rename(const std::string& path, const std::string& target);
  absl::Status Remove(const std::string& path);
  absl::Status Truncate(const std::string& path, uint64_t size);
  absl::Status CreateDirectory(const std::string& path);
  absl::Status SyncDescriptor(int descriptor, const std::string& path);
  void Close(const std::string& path);
  void CloseAll();
  std::string Absolute(const std::string& path) const { return root_ + "/" + path; }

  const std::string root_;
  absl::flat_hash_map<std::string, int> open_;
  bool uncertain_ = false;
};

}  // namespace posthatch::net
