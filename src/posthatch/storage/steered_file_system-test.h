#pragma once

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "posthatch/runtime/file_system.h"

namespace posthatch::storage {

// An in-memory file system whose batches complete only when the test calls FinishOne or FinishAll.
class SteeredFileSystem : public runtime::FileSystem {
 public:
  void Submit(std::vector<runtime::FileOperation> operations, Done done) override {
    batches.emplace_back(std::move(operations), std::move(done));
  }
  absl::StatusOr<std::string> ReadFile(const std::string& path) override {
    if (files.count(path) == 0) return absl::NotFoundError(path);
    return files[path];
  }
  absl::StatusOr<std::vector<std::string>> ListDirectory(const std::string& directory) override {
    std::vector<std::string> names;
    for (const auto& [path, contents] : files) names.push_back(path.substr(directory.size() + 1));
    return names;
  }

  // Completes the oldest batch with `status`, after running at most its first `operations_done`
  // operations.
  void FinishOne(const absl::Status& status = absl::OkStatus(), size_t operations_done = 99) {
    auto [operations, done] = std::move(batches.front());
    batches.pop_front();
    for (size_t i = 0; i < operations.size() && i < operations_done; ++i) Apply(operations[i]);
    done(status);
  }
  void FinishAll() {
    while (!batches.empty()) FinishOne();
  }

  std::deque<std::pair<std::vector<runtime::FileOperation>, Done>> batches;
  std::map<std::string, std::string> files;
  std::vector<runtime::FileOperation> applied;

 private:
  void Apply(const runtime::FileOperation& operation) {
    applied.push_back(operation);
    using Kind = runtime::FileOperation::Kind;
    switch (operation.kind) {
      case Kind::kAppend:
        files[operation.path] += operation.data;
        break;
      case Kind::kFullWrite:
        files[operation.path] = operation.data;
        break;
      case Kind::kRename:
        files[operation.target] = files[operation.path];
        files.erase(operation.path);
        break;
      case Kind::kRemove:
        files.erase(operation.path);
        break;
      case Kind::kTruncate:
        files[operation.path].resize(operation.size);
        break;
      default:
        break;
    }
  }
};

}  // namespace posthatch::storage
