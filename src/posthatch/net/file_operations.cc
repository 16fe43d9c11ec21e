#include "posthatch/net/file_operations.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <system_error>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace posthatch::net {
namespace {

using runtime::FileOperation;

constexpr int kFileMode = 0640;
constexpr size_t kMaxOpenFiles = 16;

// Writes all of `data`; returns 0 or the error number.
int WriteAll(int descriptor, const std::string& data) {
  size_t written = 0;
  while (written < data.size()) {
    const ssize_t step = write(descriptor, data.data() + written, data.size() - written);
    if (step < 0 && errno == EINTR) continue;
    if (step < 0) return errno;
    written += static_cast<size_t>(step);
  }
  return 0;
}

}  // namespace

absl::Status FileError(const std::string& operation, const std::string& path, int error_number) {
  const std::string text = absl::StrCat(
      operation, " ", path, ": ", std::error_code(error_number, std::generic_category()).message());
  switch (error_number) {
    case ENOSPC:
    case EDQUOT:
      return absl::ResourceExhaustedError(text);
    case ENOENT:
      return absl::NotFoundError(text);
    default:
      return absl::InternalError(text);
  }
}

absl::Status CheckRelativePath(const std::string& path) {
  for (const auto& part : absl::StrSplit(path, '/')) {
    if (part == ".." || (part.empty() && !path.empty())) {
      return absl::InvalidArgumentError(absl::StrCat("not a path below the data folder: ", path));
    }
  }
  return absl::OkStatus();
}

absl::Status FileOperations::Run(const FileOperation& operation) {
  absl::Status valid = CheckRelativePath(operation.path);
  if (!valid.ok()) return valid;
  switch (operation.kind) {
    case FileOperation::Kind::kAppend:
      return Append(operation.path, operation.data);
    case FileOperation::Kind::kFullWrite:
      return Overwrite(operation.path, operation.data);
    case FileOperation::Kind::kSync:
      return Sync(operation.path);
    case FileOperation::Kind::kSyncDirectory:
      return SyncDirectory(operation.path);
    case FileOperation::Kind::kRename:
      return Rename(operation.path, operation.target);
    case FileOperation::Kind::kRemove:
      return Remove(operation.path);
    case FileOperation::Kind::kTruncate:
      return Truncate(operation.path, operation.size);
    case FileOperation::Kind::kCreateDirectory:
      return CreateDirectory(operation.path);
  }
  return absl::InvalidArgumentError("unknown file operation");
}

absl::StatusOr<int> FileOperations::OpenForAppend(const std::string& path) {
  const auto found = open_.find(path);
  if (found != open_.end()) return found->second;
  if (open_.size() >= kMaxOpenFiles) CloseAll();
  const int descriptor =
      open(Absolute(path).c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, kFileMode);
  if (descriptor < 0) return FileError("open", path, errno);
  open_[path] = descriptor;
  return descriptor;
}

absl::Status FileOperations::Append(const std::string& path, const std::string& data) {
  const absl::StatusOr<int> descriptor = OpenForAppend(path);
  if (!descriptor.ok()) return descriptor.status();
  struct stat before {};
  if (fstat(*descriptor, &before) != 0) return FileError("stat", path, errno);
  const int error_number = WriteAll(*descriptor, data);
  if (error_number == 0) return absl::OkStatus();
  // A partial write must not precede the data of a later append.
  if (ftruncate(*descriptor, before.st_size) != 0) uncertain_ = true;
  return FileError("append to", path, error_number);
}

absl::Status FileOperations::Overwrite(const std::string& path, const std::string& data) {
  Close(path);
  const int descriptor =
      open(Absolute(path).c_str(), O_WRONLY | O_TRUNC | O_CREAT | O_CLOEXEC, kFileMode);
  if (descriptor < 0) return FileError("open", path, errno);
  const int error_number = WriteAll(descriptor, data);
  if (close(descriptor) != 0 && error_number == 0) return FileError("close", path, errno);
  return error_number == 0 ? absl::OkStatus() : FileError("write", path, error_number);
}

absl::Status FileOperations::SyncDescriptor(int descriptor, const std::string& path) {
  if (fsync(descriptor) == 0) return absl::OkStatus();
  uncertain_ = true;
  return FileError("sync", path, errno);
}

absl::Status FileOperations::Sync(const std::string& path) {
  const auto found = open_.find(path);
  if (found != open_.end()) return SyncDescriptor(found->second, path);
  const int descriptor = open(Absolute(path).c_str(), O_WRONLY | O_CLOEXEC);
  if (descriptor < 0) return FileError("open", path, errno);
  absl::Status status = SyncDescriptor(descriptor, path);
  close(descriptor);
  return status;
}

absl::Status FileOperations::SyncDirectory(const std::string& path) {
  const int descriptor = open(Absolute(path).c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) return FileError("open folder", path, errno);
  absl::Status status = SyncDescriptor(descriptor, path);
  close(descriptor);
  return status;
}

absl::Status FileOperations::Rename(const std::string& path, const std::string& target) {
  absl::Status valid = CheckRelativePath(target);
  if (!valid.ok()) return valid;
  Close(path);
  Close(target);
  if (rename(Absolute(path).c_str(), Absolute(target).c_str()) == 0) return absl::OkStatus();
  return FileError("rename", path, errno);
}

absl::Status FileOperations::Remove(const std::string& path) {
  Close(path);
  if (unlink(Absolute(path).c_str()) == 0 || errno == ENOENT) return absl::OkStatus();
  return FileError("remove", path, errno);
}

absl::Status FileOperations::Truncate(const std::string& path, uint64_t size) {
  if (truncate(Absolute(path).c_str(), static_cast<off_t>(size)) == 0) return absl::OkStatus();
  return FileError("truncate", path, errno);
}

absl::Status FileOperations::CreateDirectory(const std::string& path) {
  std::error_code error;
  std::filesystem::create_directories(Absolute(path), error);
  return error ? FileError("create folder", path, error.value()) : absl::OkStatus();
}

void FileOperations::Close(const std::string& path) {
  const auto found = open_.find(path);
  if (found == open_.end()) return;
  close(found->second);
  open_.erase(found);
}

void FileOperations::CloseAll() {
  for (const auto& [path, descriptor] : open_) close(descriptor);
  open_.clear();
}

}  // namespace posthatch::net
