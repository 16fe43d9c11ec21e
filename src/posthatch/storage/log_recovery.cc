#include "posthatch/storage/log_recovery.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "posthatch/storage/file_names.h"
#include "posthatch/storage/file_operations.h"

namespace posthatch::storage {
namespace {

using runtime::FileOperation;

absl::StatusOr<std::vector<SegmentFile>> ReadSegments(runtime::FileSystem* file_system,
                                                      const std::string& directory,
                                                      const std::vector<std::string>& names) {
  std::vector<SegmentFile> files;
  for (const std::string& name : names) {
    if (!IsSegmentName(name)) continue;
    const absl::StatusOr<uint64_t> sequence = ParseSegmentName(name);
    if (!sequence.ok()) return sequence.status();
    absl::StatusOr<std::string> contents = file_system->ReadFile(SegmentPath(directory, *sequence));
    if (!contents.ok()) return contents.status();
    files.push_back({*sequence, *std::move(contents)});
  }
  std::sort(files.begin(), files.end(), [](const SegmentFile& left, const SegmentFile& right) {
    return left.sequence < right.sequence;
  });
  return files;
}

// Reads the newest snapshot. Older ones, which are kept until a newer one is durable, can't serve
// as a fallback: the log entries after them may have been removed.
absl::StatusOr<std::optional<Snapshot>> ReadNewestSnapshot(runtime::FileSystem* file_system,
                                                           const std::string& directory,
                                                           const std::vector<std::string>& names) {
  uint64_t newest = 0;
  for (const std::string& name : names) {
    if (!IsSnapshotName(name)) continue;
    const absl::StatusOr<uint64_t> index = ParseSnapshotName(name);
    if (!index.ok()) return index.status();
    newest = std::max(newest, *index);
  }
  if (newest == 0) return std::optional<Snapshot>();
  const absl::StatusOr<std::string> contents =
      file_system->ReadFile(SnapshotPath(directory, newest));
  if (!contents.ok()) return contents.status();
  absl::StatusOr<Snapshot> snapshot = ParseSnapshot(*contents);
  if (!snapshot.ok()) return snapshot.status();
  if (snapshot->metadata.index() != newest) {
    return absl::DataLossError("index of the snapshot does not match its file name");
  }
  return std::optional<Snapshot>(*std::move(snapshot));
}

// Operations that create `directory` and make it durable by syncing each of its parents up to the
// root of the process's data folder.
std::vector<FileOperation> DirectoryCreation(const std::string& directory) {
  std::vector<FileOperation> operations{CreateDirectory(directory)};
  for (std::string path = directory; !path.empty();) {
    const size_t slash = path.rfind('/');
    path = slash == std::string::npos ? std::string() : path.substr(0, slash);
    operations.push_back(SyncDirectory(path));
  }
  return operations;
}

// Adds operations that create and sync the directory and remove temporary files. A killed process
// may have renamed a snapshot without syncing the directory, or left a temporary file.
void AddDirectoryRepairs(const std::string& directory, const std::vector<std::string>& names,
                         std::vector<FileOperation>* repairs) {
  const std::vector<FileOperation> creation = DirectoryCreation(directory);
  repairs->insert(repairs->begin(), creation.begin(), creation.end());
  for (const std::string& name : names) {
    if (!IsTemporaryName(name)) continue;
    repairs->push_back(RemoveFile(absl::StrCat(directory, "/", name)));
  }
}

}  // namespace

absl::StatusOr<RecoveredDirectory> RecoverDirectory(runtime::FileSystem* file_system,
                                                    const std::string& directory) {
  std::vector<std::string> names;
  absl::StatusOr<std::vector<std::string>> listing = file_system->ListDirectory(directory);
  if (listing.ok()) {
    names = *std::move(listing);
  } else if (!absl::IsNotFound(listing.status())) {
    return listing.status();
  }
  absl::StatusOr<std::optional<Snapshot>> snapshot =
      ReadNewestSnapshot(file_system, directory, names);
  if (!snapshot.ok()) return snapshot.status();
  const absl::StatusOr<std::vector<SegmentFile>> files =
      ReadSegments(file_system, directory, names);
  if (!files.ok()) return files.status();
  std::optional<SnapshotMetadata> metadata;
  if (snapshot->has_value()) metadata = (*snapshot)->metadata;
  absl::StatusOr<RecoveredLog> log = RecoverLog(directory, *files, metadata);
  if (!log.ok()) return log.status();
  AddDirectoryRepairs(directory, names, &log->repairs);
  return RecoveredDirectory{*std::move(log), *std::move(snapshot)};
}

}  // namespace posthatch::storage
