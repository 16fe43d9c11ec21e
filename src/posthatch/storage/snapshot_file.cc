#include "posthatch/storage/snapshot_file.h"

#include <boost/endian/conversion.hpp>

#include "posthatch/storage/record_format.h"

namespace posthatch::storage {
namespace {

namespace endian = boost::endian;

constexpr std::string_view kSnapshotMagic("PHATSNP\n", 8);
constexpr size_t kVersionOffset = 8;
constexpr size_t kMetadataLengthOffset = 12;
constexpr size_t kDataLengthOffset = 16;
constexpr size_t kBodyCrcOffset = 24;
constexpr size_t kHeaderCrcOffset = 28;
constexpr size_t kHeaderBytes = 32;

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
    return absl::DataLossError("snapshot: truncated header or bad magic");
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

}  // namespace posthatch::storage
