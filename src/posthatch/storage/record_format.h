#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

// Framing of log segments. A segment is a header followed by records; a record is a header
// (marker, type, payload length, start of its batch, payload checksum, header checksum) and its
// payload. All numbers are little-endian, all checksums CRC32C.
//
// A batch is the data written between two syncs. Each record contains the offset at which its batch
// begins. A damaged record that is followed by a record of a later batch was synced, so it is
// corruption. Without such a record, it may be a write that was interrupted by a power loss (a torn
// tail).
namespace posthatch::storage {

inline constexpr uint32_t kFormatVersion = 1;
inline constexpr size_t kSegmentHeaderBytes = 24;
inline constexpr size_t kRecordHeaderBytes = 28;
inline constexpr uint32_t kMaxRecordBytes = 64u << 20;

enum class RecordType : uint8_t { kHardState = 1, kEntry = 2, kReset = 3 };

// CRC32C (RFC 3720, appendix B.4) of `bytes`.
uint32_t Crc32c(std::string_view bytes);

std::string EncodeSegmentHeader(uint64_t sequence);
// Appends one record to `out`; `batch_start` is an offset in the segment.
void AppendRecord(RecordType type, std::string_view payload, uint64_t batch_start,
                  std::string* out);

struct ParsedRecord {
  RecordType type;
  std::string_view payload;  // view into the parsed contents
};

struct ParsedSegment {
  std::vector<ParsedRecord> records;
  // Bytes of the header and all intact records; less than the file size if the tail is torn.
  uint64_t valid_bytes = 0;
  bool torn = false;
};

// Parses one segment, whose header must contain `sequence`. Errors: DataLoss (corruption),
// FailedPrecondition (unknown format version). A torn tail is not an error here: the caller decides
// whether the segment may have one.
absl::StatusOr<ParsedSegment> ParseSegment(std::string_view contents, uint64_t sequence);

}  // namespace posthatch::storage
