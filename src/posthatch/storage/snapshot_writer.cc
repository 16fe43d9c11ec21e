#include "posthatch/storage/snapshot_writer.h"

#include <utility>
#include <vector>

#include "posthatch/storage/file_names.h"
#include "posthatch/storage/file_operations.h"

namespace posthatch::storage {
namespace {

using runtime::FileOperation;

// Small enough that a log write queued behind a chunk is not delayed for long.
constexpr size_t kChunkBytes = 1u << 20;

}  // namespace

SnapshotWriter::SnapshotWriter(runtime::FileSystem* file_system, std::string directory)
    : file_system_(file_system), directory_(std::move(directory)) {}

void SnapshotWriter::Write(const Snapshot& snapshot, Done done) {
  busy_ = true;
  index_ = snapshot.metadata.index();
  contents_ = EncodeSnapshot(snapshot);
  written_bytes_ = 0;
  done_ = std::move(done);
  WriteChunk();
}

void SnapshotWriter::WriteChunk() {
  const std::string path = TemporarySnapshotPath(directory_, index_);
  std::string chunk = contents_.substr(written_bytes_, kChunkBytes);
  std::vector<FileOperation> operations;
  operations.push_back(written_bytes_ == 0 ? OverwriteFile(path, std::move(chunk))
                                           : AppendToFile(path, std::move(chunk)));
  operations.push_back(SyncFile(path));
  file_system_->Submit(std::move(operations), lifetime_.Guard([this](const absl::Status& status) {
    if (!status.ok()) return Finish(status);
    written_bytes_ += kChunkBytes;
    written_bytes_ < contents_.size() ? WriteChunk() : Publish();
  }));
}

void SnapshotWriter::Publish() {
  std::vector<FileOperation> operations;
  operations.push_back(
      RenameFile(TemporarySnapshotPath(directory_, index_), SnapshotPath(directory_, index_)));
  operations.push_back(SyncDirectory(directory_));
  file_system_->Submit(std::move(operations),
                       lifetime_.Guard([this](const absl::Status& status) { Finish(status); }));
}

void SnapshotWriter::Finish(absl::Status status) {
  busy_ = false;
  contents_ = std::string();
  RemoveObsoleteFile(/*written=*/status.ok());
  if (status.ok()) previous_index_ = index_;
  Done done = std::move(done_);
  done_ = nullptr;
  done(std::move(status));
}

// Removes the previous snapshot or, after a failure, the temporary file. Errors are ignored:
// recovery reads only the newest snapshot and removes temporary files.
void SnapshotWriter::RemoveObsoleteFile(bool written) {
  std::string path;
  if (!written) {
    path = TemporarySnapshotPath(directory_, index_);
  } else if (previous_index_ != 0 && previous_index_ != index_) {
    path = SnapshotPath(directory_, previous_index_);
  }
  if (path.empty()) return;
  std::vector<FileOperation> operations;
  operations.push_back(RemoveFile(path));
  file_system_->Submit(std::move(operations), [](const absl::Status&) {});
}

}  // namespace posthatch::storage
