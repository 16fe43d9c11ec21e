#include "posthatch/storage/file_names.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace posthatch::storage {
namespace {

constexpr char kSegmentPrefix[] = "log-";
constexpr char kSnapshotPrefix[] = "snapshot-";
constexpr char kTemporarySuffix[] = ".tmp";

absl::StatusOr<uint64_t> ParseNumber(const std::string& name, const std::string& prefix) {
  uint64_t number = 0;
  if (!absl::SimpleAtoi(name.substr(prefix.size()), &number)) {
    return absl::DataLossError(absl::StrCat("unexpected file name ", name));
  }
  return number;
}

}  // namespace

std::string SegmentPath(const std::string& directory, uint64_t sequence) {
  return absl::StrFormat("%s/%s%016u", directory, kSegmentPrefix, sequence);
}

std::string SnapshotPath(const std::string& directory, uint64_t index) {
  return absl::StrFormat("%s/%s%016u", directory, kSnapshotPrefix, index);
}

std::string TemporarySnapshotPath(const std::string& directory, uint64_t index) {
  return SnapshotPath(directory, index) + kTemporarySuffix;
}

bool IsSegmentName(const std::string& name) { return absl::StartsWith(name, kSegmentPrefix); }

bool IsSnapshotName(const std::string& name) {
  return absl::StartsWith(name, kSnapshotPrefix) && !IsTemporaryName(name);
}

bool IsTemporaryName(const std::string& name) { return absl::EndsWith(name, kTemporarySuffix); }

absl::StatusOr<uint64_t> ParseSegmentName(const std::string& name) {
  return ParseNumber(name, kSegmentPrefix);
}

absl::StatusOr<uint64_t> ParseSnapshotName(const std::string& name) {
  return ParseNumber(name, kSnapshotPrefix);
}

}  // namespace posthatch::storage
