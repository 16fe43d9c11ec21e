#include "posthatch/storage/record_format.h"

#include <algorithm>
#include <boost/crc.hpp>
#include <boost/endian/conversion.hpp>
#include <optional>

#include "absl/strings/str_cat.h"

namespace posthatch::storage {
namespace {

namespace endian = boost::endian;

constexpr std::string_view kSegmentMagic("PHATLOG\n", 8);
constexpr uint32_t kRecordMarker = 0x43524850;  // "PHRC"
constexpr size_t kSectorBytes = 512;

// Offsets of the segment header's fields.
constexpr size_t kVersionOffset = 8;
constexpr size_t kSequenceOffset = 12;
constexpr size_t kSegmentCrcOffset = 20;
// Offsets of the record header's fields.
constexpr size_t kTypeOffset = 4;
constexpr size_t kLengthOffset = 8;
constexpr size_t kBatchStartOffset = 12;
constexpr size_t kPayloadCrcOffset = 20;
constexpr size_t kHeaderCrcOffset = 24;

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}
unsigned char* Bytes(std::string& text) { return reinterpret_cast<unsigned char*>(text.data()); }

struct RecordHeader {
  uint8_t type;
  uint32_t length;
  uint64_t batch_start;
  uint32_t payload_crc;
};

// Returns the record header at `offset`; nullopt if there is none with a correct checksum.
std::optional<RecordHeader> ReadRecordHeader(std::string_view contents, size_t offset) {
  if (contents.size() - offset < kRecordHeaderBytes) return std::nullopt;
  const std::string_view header = contents.substr(offset, kRecordHeaderBytes);
  const unsigned char* bytes = Bytes(header);
  if (endian::load_little_u32(bytes) != kRecordMarker) return std::nullopt;
  if (endian::load_little_u32(bytes + kHeaderCrcOffset) !=
      Crc32c(header.substr(0, kHeaderCrcOffset))) {
    return std::nullopt;
  }
  return RecordHeader{bytes[kTypeOffset], endian::load_little_u32(bytes + kLengthOffset),
                      endian::load_little_u64(bytes + kBatchStartOffset),
                      endian::load_little_u32(bytes + kPayloadCrcOffset)};
}

// Whether `offset` is followed by a record whose batch begins after `offset`.
bool LaterBatchFollows(std::string_view contents, size_t offset) {
  std::string marker(sizeof(kRecordMarker), '\0');
  endian::store_little_u32(Bytes(marker), kRecordMarker);
  for (size_t marker_offset = contents.find(marker, offset + 1);
       marker_offset != std::string_view::npos;
       marker_offset = contents.find(marker, marker_offset + 1)) {
    const std::optional<RecordHeader> header = ReadRecordHeader(contents, marker_offset);
    if (header.has_value() && header->batch_start > offset) return true;
  }
  return false;
}

// Whether [begin, end) contains a sector, or part of one, that is all zero. A file system leaves
// such sectors when it has extended the file but not yet written the data.
bool HasUnwrittenSector(std::string_view contents, size_t begin, size_t end) {
  while (begin < end) {
    const size_t sector_end = std::min(end, (begin / kSectorBytes + 1) * kSectorBytes);
    const std::string_view sector = contents.substr(begin, sector_end - begin);
    if (std::all_of(sector.begin(), sector.end(), [](char byte) { return byte == 0; })) {
      return true;
    }
    begin = sector_end;
  }
  return false;
}

// Whether the damage in [offset, end) can result from an interrupted write.
bool LooksTorn(std::string_view contents, size_t offset, size_t end) {
  if (LaterBatchFollows(contents, offset)) return false;
  return end > contents.size() || HasUnwrittenSector(contents, offset, end);
}

absl::Status CheckSegmentHeader(std::string_view contents, uint64_t sequence) {
  const unsigned char* bytes = Bytes(contents);
  if (contents.substr(0, kSegmentMagic.size()) != kSegmentMagic) {
    return absl::DataLossError(absl::StrCat("log segment ", sequence, ": bad magic"));
  }
  const uint32_t version = endian::load_little_u32(bytes + kVersionOffset);
  if (version != kFormatVersion) {
    return absl::FailedPreconditionError(
        absl::StrCat("log segment ", sequence, ": unknown format version ", version));
  }
  if (endian::load_little_u32(bytes + kSegmentCrcOffset) !=
          Crc32c(contents.substr(0, kSegmentCrcOffset)) ||
      endian::load_little_u64(bytes + kSequenceOffset) != sequence) {
    return absl::DataLossError(absl::StrCat("log segment ", sequence, ": damaged header"));
  }
  return absl::OkStatus();
}

bool IsTornHeader(std::string_view contents) {
  if (contents.size() >= kSegmentHeaderBytes &&
      !HasUnwrittenSector(contents, 0, kSegmentHeaderBytes)) {
    return false;
  }
  return !LaterBatchFollows(contents, 0);
}

}  // namespace

uint32_t Crc32c(std::string_view bytes) {
  boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

std::string EncodeSegmentHeader(uint64_t sequence) {
  std::string header(kSegmentHeaderBytes, '\0');
  header.replace(0, kSegmentMagic.size(), kSegmentMagic);
  endian::store_little_u32(Bytes(header) + kVersionOffset, kFormatVersion);
  endian::store_little_u64(Bytes(header) + kSequenceOffset, sequence);
  endian::store_little_u32(Bytes(header) + kSegmentCrcOffset,
                           Crc32c(std::string_view{header}.substr(0, kSegmentCrcOffset)));
  return header;
}

void AppendRecord(RecordType type, std::string_view payload, uint64_t batch_start,
                  std::string* out) {
  std::string header(kRecordHeaderBytes, '\0');
  unsigned char* bytes = Bytes(header);
  endian::store_little_u32(bytes, kRecordMarker);
  bytes[kTypeOffset] = static_cast<uint8_t>(type);
  endian::store_little_u32(bytes + kLengthOffset, static_cast<uint32_t>(payload.size()));
  endian::store_little_u64(bytes + kBatchStartOffset, batch_start);
  endian::store_little_u32(bytes + kPayloadCrcOffset, Crc32c(payload));
  endian::store_little_u32(bytes + kHeaderCrcOffset,
                           Crc32c(std::string_view{header}.substr(0, kHeaderCrcOffset)));
  out->append(header);
  out->append(payload);
}

absl::StatusOr<ParsedSegment> ParseSegment(std::string_view contents, uint64_t sequence) {
  ParsedSegment segment;
  if (IsTornHeader(contents)) {
    segment.torn = true;
    return segment;
  }
  if (contents.size() < kSegmentHeaderBytes) {
    return absl::DataLossError(absl::StrCat("log segment ", sequence, ": truncated header"));
  }
  if (absl::Status status = CheckSegmentHeader(contents, sequence); !status.ok()) return status;
  size_t offset = kSegmentHeaderBytes;
  while (offset < contents.size()) {
    const std::optional<RecordHeader> header = ReadRecordHeader(contents, offset);
    const size_t payload_offset = offset + kRecordHeaderBytes;
    const size_t end = payload_offset + (header.has_value() ? header->length : 0);
    const bool intact =
        header.has_value() && end <= contents.size() &&
        Crc32c(contents.substr(payload_offset, header->length)) == header->payload_crc;
    if (!intact) {
      if (!LooksTorn(contents, offset, end)) {
        return absl::DataLossError(
            absl::StrCat("log segment ", sequence, ": corruption at offset ", offset));
      }
      segment.torn = true;
      break;
    }
    segment.records.push_back(
        {static_cast<RecordType>(header->type), contents.substr(payload_offset, header->length)});
    offset = end;
  }
  segment.valid_bytes = offset;
  return segment;
}

}  // namespace posthatch::storage
