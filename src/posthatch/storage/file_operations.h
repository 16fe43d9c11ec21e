#pragma once

#include <cstdint>
#include <string>
#include <utility>

#include "posthatch/runtime/file_system.h"

// Factory functions for the kinds of file operations that storage uses; see
// runtime::FileOperation::Kind for their semantics.
namespace posthatch::storage {

inline runtime::FileOperation AppendToFile(std::string path, std::string data) {
  return {runtime::FileOperation::Kind::kAppend, std::move(path), std::move(data), "", 0};
}
inline runtime::FileOperation OverwriteFile(std::string path, std::string data) {
  return {runtime::FileOperation::Kind::kFullWrite, std::move(path), std::move(data), "", 0};
}
inline runtime::FileOperation SyncFile(std::string path) {
  return {runtime::FileOperation::Kind::kSync, std::move(path), "", "", 0};
}
inline runtime::FileOperation SyncDirectory(std::string path) {
  return {runtime::FileOperation::Kind::kSyncDirectory, std::move(path), "", "", 0};
}
inline runtime::FileOperation CreateDirectory(std::string path) {
  return {runtime::FileOperation::Kind::kCreateDirectory, std::move(path), "", "", 0};
}
inline runtime::FileOperation RenameFile(std::string path, std::string target) {
  return {runtime::FileOperation::Kind::kRename, std::move(path), "", std::move(target), 0};
}
inline runtime::FileOperation RemoveFile(std::string path) {
  return {runtime::FileOperation::Kind::kRemove, std::move(path), "", "", 0};
}
inline runtime::FileOperation TruncateFile(std::string path, uint64_t size) {
  return {runtime::FileOperation::Kind::kTruncate, std::move(path), "", "", size};
}

}  // namespace posthatch::storage
