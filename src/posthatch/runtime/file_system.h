#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace posthatch::runtime {

// One step of a batch. Paths are relative to the process's data folder, with '/' as separator.
struct FileOperation {
  enum class Kind {
    kAppend,           // add `data` at the end of `path`, creating the file
    kFullWrite,        // replace the content of `path` by `data`, creating the file
    kSync,             // make the content of `path` durable
    kSyncDirectory,    // make the entries (creations, renames, removals) of folder `path` durable
    kRename,           // rename `path` to `target`, replacing it
    kRemove,           // remove file `path`; a missing one is not an error
    kTruncate,         // truncate `path` to `size` bytes
    kCreateDirectory,  // create folder `path` and its parents; an existing one is not an error
  };
  Kind kind;
  std::string path;
  std::string data;
  std::string target;
  uint64_t size = 0;
};

// Files below one data folder. Nothing is durable before a kSync of the file and a
// kSyncDirectory of its folder have completed.
class FileSystem {
 public:
  using Done = std::function<void(absl::Status)>;

  virtual ~FileSystem() = default;

  // Runs the operations of a batch in order on the disk thread, stops at the first error, and
  // reports on the event loop thread. Batches complete in the order of submission. Errors:
  // ResourceExhausted (disk full), NotFound, Internal (I/O error).
  virtual void Submit(std::vector<FileOperation> operations, Done done) = 0;

  // Blocking reads, for start-up and recovery only.
  virtual absl::StatusOr<std::string> ReadFile(const std::string& path) = 0;
  // Names (not paths) in folder `path`, sorted; NotFound if there is no such folder.
  virtual absl::StatusOr<std::vector<std::string>> ListDirectory(const std::string& path) = 0;
};

}  // namespace posthatch::runtime
