#include "posthatch/simulation/sim_disk.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

namespace posthatch::simulation {
namespace {

absl::Status PathNotFoundError(const std::string& path) {
  return absl::NotFoundError(absl::StrCat("no such file or folder: ", path));
}

absl::Status DiskFullError() { return absl::ResourceExhaustedError("disk full"); }

}  // namespace

SimDisk::SimDisk(runtime::Random* random) : random_(random) {}

std::string SimDisk::Normalize(const std::string& path) {
  std::vector<std::string> parts;
  for (absl::string_view part : absl::StrSplit(path, '/', absl::SkipEmpty())) {
    if (part != ".") parts.emplace_back(part);
  }
  return absl::StrJoin(parts, "/");
}

std::string SimDisk::ParentOf(const std::string& path) {
  const size_t slash = path.rfind('/');
  return slash == std::string::npos ? std::string() : path.substr(0, slash);
}

bool SimDisk::IsDirectory(const std::string& path) const {
  if (path.empty()) return true;
  const auto found = entries_.find(path);
  return found != entries_.end() && found->second == nullptr;
}

absl::StatusOr<std::shared_ptr<SimDisk::File>> SimDisk::FindFile(const std::string& path) const {
  const auto found = entries_.find(path);
  if (found == entries_.end()) return PathNotFoundError(path);
  if (found->second == nullptr) {
    return absl::FailedPreconditionError(absl::StrCat("is a folder: ", path));
  }
  return found->second;
}

absl::StatusOr<std::shared_ptr<SimDisk::File>> SimDisk::FindOrCreateFile(const std::string& path) {
  if (!IsDirectory(ParentOf(path))) return PathNotFoundError(ParentOf(path));
  if (entries_.contains(path)) return FindFile(path);
  if (full_) return DiskFullError();
  return entries_[path] = std::make_shared<File>();
}

absl::Status SimDisk::Append(const std::string& path, const std::string& data) {
  absl::StatusOr<std::shared_ptr<File>> file = FindOrCreateFile(path);
  if (!file.ok()) return file.status();
  if (full_ && !data.empty()) {
    // A real write may write a part of the data before the disk is full.
    (*file)->content.append(data, 0, random_->Uniform(data.size()));
    return DiskFullError();
  }
  (*file)->content.append(data);
  return absl::OkStatus();
}

absl::Status SimDisk::Overwrite(const std::string& path, const std::string& data) {
  absl::StatusOr<std::shared_ptr<File>> file = FindOrCreateFile(path);
  if (!file.ok()) return file.status();
  (*file)->content = full_ ? std::string() : data;
  return full_ && !data.empty() ? DiskFullError() : absl::OkStatus();
}

absl::Status SimDisk::Rename(const std::string& path, const std::string& target) {
  if (!IsDirectory(ParentOf(target))) return PathNotFoundError(ParentOf(target));
  absl::StatusOr<std::shared_ptr<File>> file = FindFile(path);
  if (!file.ok()) return file.status();
  if (IsDirectory(target)) {
    return absl::FailedPreconditionError(absl::StrCat("is a folder: ", target));
  }
  entries_.erase(path);
  entries_[target] = *file;
  return absl::OkStatus();
}

absl::Status SimDisk::Remove(const std::string& path) {
  if (!entries_.contains(path)) return absl::OkStatus();
  absl::StatusOr<std::shared_ptr<File>> file = FindFile(path);
  if (!file.ok()) return file.status();
  entries_.erase(path);
  return absl::OkStatus();
}

absl::Status SimDisk::Truncate(const std::string& path, uint64_t size) {
  absl::StatusOr<std::shared_ptr<File>> file = FindFile(path);
  if (!file.ok()) return file.status();
  (*file)->content.resize(size);
  return absl::OkStatus();
}

absl::Status SimDisk::CreateDirectory(const std::string& path) {
  if (IsDirectory(path)) return absl::OkStatus();
  if (entries_.contains(path)) {
    return absl::FailedPreconditionError(absl::StrCat("is a file: ", path));
  }
  if (full_) return DiskFullError();
  absl::Status parent = CreateDirectory(ParentOf(path));
  if (!parent.ok()) return parent;
  entries_[path] = nullptr;
  return absl::OkStatus();
}

absl::Status SimDisk::SyncDirectory(const std::string& path) {
  if (!IsDirectory(path)) return PathNotFoundError(path);
  std::erase_if(durable_entries_, [&](const auto& entry) {
    return ParentOf(entry.first) == path && !entries_.contains(entry.first);
  });
  for (const auto& [name, file] : entries_) {
    if (ParentOf(name) == path) durable_entries_[name] = file;
  }
  return absl::OkStatus();
}

absl::Status SimDisk::Apply(const runtime::FileOperation& operation) {
  using Kind = runtime::FileOperation::Kind;
  const std::string path = Normalize(operation.path);
  switch (operation.kind) {
    case Kind::kAppend:
      return Append(path, operation.data);
    case Kind::kFullWrite:
      return Overwrite(path, operation.data);
    case Kind::kSync: {
      absl::StatusOr<std::shared_ptr<File>> file = FindFile(path);
      if (file.ok()) (*file)->durable_content = (*file)->content;
      return file.status();
    }
    case Kind::kSyncDirectory:
      return SyncDirectory(path);
    case Kind::kRename:
      return Rename(path, Normalize(operation.target));
    case Kind::kRemove:
      return Remove(path);
    case Kind::kTruncate:
      return Truncate(path, operation.size);
    case Kind::kCreateDirectory:
      return CreateDirectory(path);
  }
  return absl::InternalError("unknown file operation");
}

absl::StatusOr<std::string> SimDisk::ReadFile(const std::string& path) const {
  absl::StatusOr<std::shared_ptr<File>> file = FindFile(Normalize(path));
  if (!file.ok()) return file.status();
  return (*file)->content;
}

absl::StatusOr<std::vector<std::string>> SimDisk::ListDirectory(const std::string& path) const {
  const std::string folder = Normalize(path);
  if (!IsDirectory(folder)) return PathNotFoundError(folder);
  std::vector<std::string> names;
  for (const auto& [name, file] : entries_) {
    if (ParentOf(name) == folder) names.push_back(name.substr(name.rfind('/') + 1));
  }
  return names;
}

void SimDisk::RevertFile(File* file) {
  const std::string& durable = file->durable_content;
  const bool appended = file->content.compare(0, durable.size(), durable) == 0;
  if (appended) {
    const size_t tail = file->content.size() - durable.size();
    file->content.resize(durable.size() + random_->Uniform(tail + 1));
  } else if (file->content.size() < durable.size() && durable.starts_with(file->content)) {
    // Truncated and not synced: the truncation may be durable or not.
    if (random_->Chance(0.5)) file->content = durable;
  } else {
    // Overwritten and not synced: the old content, or the new one torn at any byte.
    if (random_->Chance(0.5)) {
      file->content = durable;
    } else {
      file->content.resize(random_->Uniform(file->content.size() + 1));
    }
  }
  file->durable_content = file->content;
}

void SimDisk::PowerLoss() {
  // An entry whose folder's own entry was never synced is lost with the folder.
  Entries surviving;
  for (const auto& [name, file] : durable_entries_) {
    const std::string parent = ParentOf(name);
    if (parent.empty() || surviving.contains(parent)) surviving[name] = file;
  }
  durable_entries_ = surviving;
  entries_ = std::move(surviving);
  // A file with two names is reverted only once: after the first call, nothing in it is unsynced.
  for (const auto& [name, file] : entries_) {
    if (file != nullptr) RevertFile(file.get());
  }
}

void SimDisk::Wipe() {
  entries_.clear();
  durable_entries_.clear();
}

}  // namespace posthatch::simulation
