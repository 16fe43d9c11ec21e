// Recovery of arbitrary file contents must return a log or an error, and a recovered log must have
// no gaps. The input gives the contents of two segments and optionally a snapshot's index and term.
#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

#include "posthatch/storage/log_recovery.h"
#include "posthatch/storage/record_format.h"

namespace {

using posthatch::storage::AppendRecord;
using posthatch::storage::EncodeSegmentHeader;
using posthatch::storage::RecordType;
using posthatch::storage::SegmentFile;

// Frames the input as valid records with arbitrary types and payloads, so that it reaches replay.
std::string FrameRecords(uint64_t sequence, const std::string& bytes) {
  std::string contents = EncodeSegmentHeader(sequence);
  size_t offset = 0;
  while (offset + 2 <= bytes.size()) {
    const auto type = static_cast<RecordType>(static_cast<uint8_t>(bytes[offset]) % 4);
    const size_t length = static_cast<uint8_t>(bytes[offset + 1]) % 64;
    AppendRecord(type, bytes.substr(offset + 2, length), contents.size(), &contents);
    offset += 2 + length;
  }
  return contents;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (size < 4) return 0;
  const std::string bytes(reinterpret_cast<const char*>(data) + 4, size - 4);
  std::optional<posthatch::storage::SnapshotMetadata> snapshot;
  if (data[0] % 2 == 1) {
    snapshot.emplace();
    snapshot->set_index(data[1]);
    snapshot->set_term(data[2]);
  }
  const size_t split = bytes.size() * data[3] / 256;
  const bool framed = data[0] % 4 < 2;
  std::vector<SegmentFile> files;
  const std::string parts[] = {bytes.substr(0, split), bytes.substr(split)};
  for (uint64_t sequence = 1; sequence <= 2; ++sequence) {
    const std::string& part = parts[sequence - 1];
    files.push_back({sequence, framed ? FrameRecords(sequence, part) : part});
  }
  const auto log = posthatch::storage::RecoverLog("raft", files, snapshot);
  if (!log.ok()) return 0;
  uint64_t expected = log->base_index;
  for (const auto& entry : log->entries) {
    if (entry.index() != ++expected) std::abort();
  }
  if (snapshot.has_value() && expected < snapshot->index()) std::abort();
  return 0;
}
