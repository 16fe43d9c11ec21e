#include "posthatch/storage/log_recovery.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "posthatch/storage/record_format.h"
#include "posthatch/storage/snapshot_file.h"

namespace posthatch::storage {
namespace {

using runtime::FileOperation;

constexpr char kSegmentPrefix[] = "log-";
constexpr char kSnapshotPrefix[] = "snapshot-";
constexpr char kTemporarySuffix[] = ".tmp";

// Replays records in the order they were written: an entry replaces everything from its index on.
class Replay {
 public:
  explicit Replay(uint64_t snapshot_index) : snapshot_index_(snapshot_index) {}

  absl::Status Apply(const ParsedRecord& record, SegmentInfo* info) {
    switch (record.type) {
      case RecordType::kHardState:
        return ParseInto(record, &log.hard_state);
      case RecordType::kEntry: {
        LogEntry entry;
        if (absl::Status status = ParseInto(record, &entry); !status.ok()) return status;
        info->max_index = std::max(info->max_index, entry.index());
        return ApplyEntry(std::move(entry));
      }
      case RecordType::kReset: {
        LogReset reset;
        if (absl::Status status = ParseInto(record, &reset); !status.ok()) return status;
        log.entries.clear();
        log.base_index = reset.index();
        log.base_term = reset.term();
        return absl::OkStatus();
      }
    }
    return absl::DataLossError("log record of unknown type");
  }

  RecoveredLog log;

 private:
  template <typename Message>
  static absl::Status ParseInto(const ParsedRecord& record, Message* message) {
    if (message->ParseFromArray(record.payload.data(), static_cast<int>(record.payload.size()))) {
      return absl::OkStatus();
    }
    return absl::DataLossError("log record does not parse");
  }

  absl::Status ApplyEntry(LogEntry entry) {
    const uint64_t next = log.base_index + log.entries.size() + 1;
    if (entry.index() == 0) return absl::DataLossError("log entry with index 0");
    if (entry.index() > next || entry.index() <= log.base_index) {
      // Entries between were compacted away: allowed as far as the snapshot reaches.
      if (entry.index() > snapshot_index_ + 1) {
        return absl::DataLossError(absl::StrCat("gap in the log before entry ", entry.index()));
      }
      log.entries.clear();
      log.base_index = entry.index() - 1;
      log.base_term = 0;  // unknown: Finish drops it
    } else {
      log.entries.resize(entry.index() - log.base_index - 1);
    }
    log.entries.push_back(std::move(entry));
    return absl::OkStatus();
  }

  const uint64_t snapshot_index_;
};

void ResetToSnapshot(RecoveredLog* log, const SnapshotMetadata& snapshot) {
  log->entries.clear();
  log->base_index = snapshot.index();
  log->base_term = snapshot.term();
}

// Makes log and snapshot meet: entries that don't continue the snapshot are dropped.
absl::Status AlignWithSnapshot(RecoveredLog* log, const SnapshotMetadata& snapshot) {
  const uint64_t index = snapshot.index();
  const uint64_t last = log->base_index + log->entries.size();
  if (log->base_index > index) {
    return absl::DataLossError(
        absl::StrCat("log begins after ", log->base_index, ", snapshot ends at ", index));
  }
  if (last < index) {
    ResetToSnapshot(log, snapshot);
    return absl::OkStatus();
  }
  const uint64_t term_in_log =
      index == log->base_index ? log->base_term : log->entries[index - log->base_index - 1].term();
  // An unknown base term can only be that of the snapshot's own index, or stem from compaction.
  if (term_in_log != snapshot.term() && !(index == log->base_index && log->base_term == 0)) {
    ResetToSnapshot(log, snapshot);
    return absl::OkStatus();
  }
  if (index == log->base_index) {
    log->base_term = snapshot.term();
  } else if (log->base_index > 0 && log->base_term == 0) {
    // The first entry's predecessor has an unknown term: keep one entry as the base.
    log->base_index = log->entries.front().index();
    log->base_term = log->entries.front().term();
    log->entries.erase(log->entries.begin());
  }
  return absl::OkStatus();
}

absl::StatusOr<uint64_t> ParseNumber(const std::string& name, const std::string& prefix) {
  uint64_t number = 0;
  if (!absl::SimpleAtoi(name.substr(prefix.size()), &number)) {
    return absl::DataLossError(absl::StrCat("unexpected file name ", name));
  }
  return number;
}

absl::StatusOr<std::vector<SegmentFile>> ReadSegments(runtime::FileSystem* file_system,
                                                      const std::string& directory,
                                                      const std::vector<std::string>& names) {
  std::vector<SegmentFile> files;
  for (const std::string& name : names) {
    if (!absl::StartsWith(name, kSegmentPrefix)) continue;
    const absl::StatusOr<uint64_t> sequence = ParseNumber(name, kSegmentPrefix);
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

// The newest snapshot. Older ones, kept until the newer is durable, are not looked at: they can't
// be fallen back to once the log behind them is gone.
absl::StatusOr<std::optional<Snapshot>> ReadNewestSnapshot(runtime::FileSystem* file_system,
                                                           const std::string& directory,
                                                           const std::vector<std::string>& names) {
  uint64_t newest = 0;
  for (const std::string& name : names) {
    if (!absl::StartsWith(name, kSnapshotPrefix) || absl::EndsWith(name, kTemporarySuffix)) {
      continue;
    }
    const absl::StatusOr<uint64_t> index = ParseNumber(name, kSnapshotPrefix);
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
    return absl::DataLossError("snapshot file holds another index than its name says");
  }
  return std::optional<Snapshot>(*std::move(snapshot));
}

// Creates the folder and makes it durable, that is, its entry in its parent and so on up to the
// data folder.
std::vector<FileOperation> DirectoryCreation(const std::string& directory) {
  std::vector<FileOperation> operations{
      {FileOperation::Kind::kCreateDirectory, directory, "", "", 0}};
  for (std::string path = directory; !path.empty();) {
    const size_t slash = path.rfind('/');
    path = slash == std::string::npos ? std::string() : path.substr(0, slash);
    operations.push_back({FileOperation::Kind::kSyncDirectory, path, "", "", 0});
  }
  return operations;
}

}  // namespace

std::string SegmentPath(const std::string& directory, uint64_t sequence) {
  return absl::StrFormat("%s/%s%016u", directory, kSegmentPrefix, sequence);
}

std::string SnapshotPath(const std::string& directory, uint64_t index) {
  return absl::StrFormat("%s/%s%016u", directory, kSnapshotPrefix, index);
}

absl::StatusOr<RecoveredLog> RecoverLog(const std::string& directory,
                                        const std::vector<SegmentFile>& files,
                                        const std::optional<SnapshotMetadata>& snapshot) {
  Replay replay(snapshot.has_value() ? snapshot->index() : 0);
  RecoveredLog& log = replay.log;
  for (size_t i = 0; i < files.size(); ++i) {
    const SegmentFile& file = files[i];
    const bool is_last = i + 1 == files.size();
    if (i > 0 && file.sequence != files[i - 1].sequence + 1) {
      return absl::DataLossError(absl::StrCat("log segment before ", file.sequence, " is missing"));
    }
    const absl::StatusOr<ParsedSegment> segment = ParseSegment(file.contents, file.sequence);
    if (!segment.ok()) return segment.status();
    if (segment->torn && !is_last) {
      return absl::DataLossError(absl::StrCat("log segment ", file.sequence, " is cut short"));
    }
    const std::string path = SegmentPath(directory, file.sequence);
    log.next_sequence = file.sequence + 1;
    if (segment->valid_bytes == 0) {  // not even its header was synced
      log.next_sequence = file.sequence;
      log.repairs.push_back({FileOperation::Kind::kRemove, path, "", "", 0});
      continue;
    }
    if (segment->torn) {
      log.repairs.push_back({FileOperation::Kind::kTruncate, path, "", "", segment->valid_bytes});
    }
    if (is_last) log.repairs.push_back({FileOperation::Kind::kSync, path, "", "", 0});
    SegmentInfo info{file.sequence, 0};
    for (const ParsedRecord& record : segment->records) {
      if (absl::Status status = replay.Apply(record, &info); !status.ok()) return status;
    }
    log.segments.push_back(info);
  }
  log.repairs.push_back({FileOperation::Kind::kSyncDirectory, directory, "", "", 0});
  if (log.hard_state.replica_id() == 0 && (!log.entries.empty() || snapshot.has_value())) {
    return absl::DataLossError("log or snapshot without the replica's identity");
  }
  if (snapshot.has_value()) {
    if (absl::Status status = AlignWithSnapshot(&log, *snapshot); !status.ok()) return status;
  } else if (log.base_index > 0) {
    return absl::DataLossError("the log was compacted, but there is no snapshot");
  }
  return std::move(replay.log);
}

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
  // A killed process may have renamed a snapshot without syncing the folder, or left a part of one.
  const std::vector<FileOperation> creation = DirectoryCreation(directory);
  log->repairs.insert(log->repairs.begin(), creation.begin(), creation.end());
  for (const std::string& name : names) {
    if (absl::EndsWith(name, kTemporarySuffix)) {
      log->repairs.push_back(
          {FileOperation::Kind::kRemove, absl::StrCat(directory, "/", name), "", "", 0});
    }
  }
  return RecoveredDirectory{*std::move(log), *std::move(snapshot)};
}

}  // namespace posthatch::storage
