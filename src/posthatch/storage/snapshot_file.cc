#include "posthatch/storage/snapshot_file.h"

#include <boost/endian/conversion.hpp>
#include <utility>

#include "posthatch/storage/record_format.h"

namespace posthatch::storage {
namespace {

namespace endian = boost::endian;
using runtime::FileOperation;

constexpr std::string_view kSnapshotMagic("PHATSNP\n", 8);
constexpr size_t kVersionOffset = 8;
constexpr size_t kMetadataLengthOffset = 12;
constexpr size_t kDataLengthOffset = 16;
constexpr size_t kBodyCrcOffset = 24;
constexpr size_t kHeaderCrcOffset = 28;
constexpr size_t kHeaderBytes = 32;
// Short enough that a log write that waits behind a piece is not held up for long.
constexpr size_t kChunkBytes = 1u << 20;

}  // namespace

std::string EncodeSnapshot(const Snapshot& snapshot) {
  const std::string metadata = snapshot.metadata.SerializeAsString();
  std::string contents(kHeaderBytes, '\0');
  contents.append(metadata);
  contents.append(snapshot.data);
  const uint32_t body_crc = Crc32c(std::string_view{contents}.substr(kHeaderBytes));
  contents.replace(0, kSnapshotMagic.size(), kSnapshotMagic);
  auto* bytes = reinterpret_cast<unsigned char*>(contents.data());
  endian::store_little_u32(bytes + kVersionOffset, kFormatVersion);
  endian::store_little_u32(bytes + kMetadataLengthOffset, static_cast<uint32_t>(metadata.size()));
  endian::store_little_u64(bytes + kDataLengthOffset, snapshot.data.size());
  endian::store_little_u32(bytes + kBodyCrcOffset, body_crc);
  endian::store_little_u32(bytes + kHeaderCrcOffset,
                           Crc32c(std::string_view{contents}.substr(0, kHeaderCrcOffset)));
  return contents;
}

absl::StatusOr<Snapshot> ParseSnapshot(std::string_view contents) {
  if (contents.size() < kHeaderBytes ||
      contents.substr(0, kSnapshotMagic.size()) != kSnapshotMagic) {
    return absl::DataLossError("snapshot: cut header or bad magic");
  }
  const auto* bytes = reinterpret_cast<const unsigned char*>(contents.data());
  if (endian::load_little_u32(bytes + kVersionOffset) != kFormatVersion) {
    return absl::FailedPreconditionError("snapshot: unknown format version");
  }
  if (endian::load_little_u32(bytes + kHeaderCrcOffset) !=
      Crc32c(contents.substr(0, kHeaderCrcOffset))) {
    return absl::DataLossError("snapshot: damaged header");
  }
  const uint64_t metadata_length = endian::load_little_u32(bytes + kMetadataLengthOffset);
  const uint64_t data_length = endian::load_little_u64(bytes + kDataLengthOffset);
  const std::string_view body = contents.substr(kHeaderBytes);
  if (metadata_length > body.size() || body.size() - metadata_length != data_length ||
      endian::load_little_u32(bytes + kBodyCrcOffset) != Crc32c(body)) {
    return absl::DataLossError("snapshot: damaged body");
  }
  Snapshot snapshot;
  if (!snapshot.metadata.ParseFromArray(body.data(), static_cast<int>(metadata_length))) {
    return absl::DataLossError("snapshot: metadata does not parse");
  }
  snapshot.data = std::string(body.substr(metadata_length));
  return snapshot;
}

SnapshotWriter::SnapshotWriter(runtime::FileSystem* file_system, std::string directory)
    : file_system_(file_system), directory_(std::move(directory)) {}

runtime::FileSystem::Done SnapshotWriter::Guard(std::function<void(absl::Status)> next) {
  return [alive = std::weak_ptr<bool>(alive_), next = std::move(next)](absl::Status status) {
    if (!alive.expired()) next(std::move(status));
  };
}

void SnapshotWriter::Write(const Snapshot& snapshot, Done done) {
  busy_ = true;
  index_ = snapshot.metadata.index();
  contents_ = EncodeSnapshot(snapshot);
  written_ = 0;
  done_ = std::move(done);
  WriteChunk();
}

void SnapshotWriter::WriteChunk() {
  const std::string path = SnapshotPath(directory_, index_) + ".tmp";
  std::vector<FileOperation> operations;
  const auto kind = written_ == 0 ? FileOperation::Kind::kFullWrite : FileOperation::Kind::kAppend;
  operations.push_back({kind, path, contents_.substr(written_, kChunkBytes), "", 0});
  operations.push_back({FileOperation::Kind::kSync, path, "", "", 0});
  file_system_->Submit(std::move(operations), Guard([this](const absl::Status& status) {
                         if (!status.ok()) return Finish(status);
                         written_ += kChunkBytes;
                         written_ < contents_.size() ? WriteChunk() : Publish();
                       }));
}

void SnapshotWriter::Publish() {
  const std::string path = SnapshotPath(directory_, index_);
  std::vector<FileOperation> operations;
  operations.push_back({FileOperation::Kind::kRename, path + ".tmp", "", path, 0});
  operations.push_back({FileOperation::Kind::kSyncDirectory, directory_, "", "", 0});
  file_system_->Submit(std::move(operations),
                       Guard([this](const absl::Status& status) { Finish(status); }));
}

void SnapshotWriter::Finish(absl::Status status) {
  busy_ = false;
  contents_ = std::string();
  std::vector<FileOperation> cleanup;
  if (!status.ok()) {
    cleanup.push_back(
        {FileOperation::Kind::kRemove, SnapshotPath(directory_, index_) + ".tmp", "", "", 0});
  } else if (previous_index_ != 0 && previous_index_ != index_) {
    cleanup.push_back(
        {FileOperation::Kind::kRemove, SnapshotPath(directory_, previous_index_), "", "", 0});
  }
  if (status.ok()) previous_index_ = index_;
  if (!cleanup.empty()) {
    // A file that stays behind does no harm: recovery takes the newest and removes parts.
    file_system_->Submit(std::move(cleanup), [](const absl::Status&) {});
  }
  Done done = std::move(done_);
  done_ = nullptr;
  done(std::move(status));
}

}  // namespace posthatch::storage
