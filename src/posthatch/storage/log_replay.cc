#include "posthatch/storage/log_replay.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "posthatch/storage/file_names.h"
#include "posthatch/storage/file_operations.h"
#include "posthatch/storage/record_format.h"

namespace posthatch::storage {
namespace {

// Position of a segment in the log. Only the last one may end in a torn record, since the writer
// appends only to the last segment.
enum class SegmentPosition { kClosed, kLast };

template <typename Message>
absl::Status ParseInto(const ParsedRecord& record, Message* message) {
  if (message->ParseFromArray(record.payload.data(), static_cast<int>(record.payload.size()))) {
    return absl::OkStatus();
  }
  return absl::DataLossError("log record does not parse");
}

// Replays records in the order of writing. An entry replaces all entries from its index on.
class LogReplay {
 public:
  LogReplay(std::string directory, uint64_t snapshot_index)
      : directory_(std::move(directory)), snapshot_index_(snapshot_index) {}

  absl::Status ApplySegment(const SegmentFile& file, SegmentPosition position);
  RecoveredLog& log() { return log_; }

 private:
  absl::Status ApplyRecord(const ParsedRecord& record, SegmentInfo* info);
  absl::Status ApplyEntry(LogEntry entry);
  absl::Status ApplyReset(const ParsedRecord& record);

  const std::string directory_;
  const uint64_t snapshot_index_;
  RecoveredLog log_;
};

absl::Status LogReplay::ApplySegment(const SegmentFile& file, SegmentPosition position) {
  const absl::StatusOr<ParsedSegment> segment = ParseSegment(file.contents, file.sequence);
  if (!segment.ok()) return segment.status();
  if (segment->torn && position != SegmentPosition::kLast) {
    return absl::DataLossError(absl::StrCat("log segment ", file.sequence, " is truncated"));
  }
  const std::string path = SegmentPath(directory_, file.sequence);
  log_.next_sequence = file.sequence + 1;
  if (segment->valid_bytes == 0) {  // the header was not synced
    log_.next_sequence = file.sequence;
    log_.repairs.push_back(RemoveFile(path));
    return absl::OkStatus();
  }
  if (segment->torn) {
    log_.repairs.push_back(TruncateFile(path, segment->valid_bytes));
  }
  if (position == SegmentPosition::kLast) {
    log_.repairs.push_back(SyncFile(path));
  }
  SegmentInfo info{file.sequence, 0};
  for (const ParsedRecord& record : segment->records) {
    if (absl::Status status = ApplyRecord(record, &info); !status.ok()) return status;
  }
  log_.segments.push_back(info);
  return absl::OkStatus();
}

absl::Status LogReplay::ApplyRecord(const ParsedRecord& record, SegmentInfo* info) {
  switch (record.type) {
    case RecordType::kHardState:
      return ParseInto(record, &log_.hard_state);
    case RecordType::kEntry: {
      LogEntry entry;
      if (absl::Status status = ParseInto(record, &entry); !status.ok()) return status;
      info->max_index = std::max(info->max_index, entry.index());
      return ApplyEntry(std::move(entry));
    }
    case RecordType::kReset:
      return ApplyReset(record);
  }
  return absl::DataLossError("log record of unknown type");
}

absl::Status LogReplay::ApplyEntry(LogEntry entry) {
  const uint64_t next = log_.base_index + log_.entries.size() + 1;
  if (entry.index() == 0) return absl::DataLossError("log entry with index 0");
  if (entry.index() > next || entry.index() <= log_.base_index) {
    // The entries in between were compacted, which is valid only up to the end of the snapshot.
    if (entry.index() > snapshot_index_ + 1) {
      return absl::DataLossError(absl::StrCat("gap in the log before entry ", entry.index()));
    }
    log_.entries.clear();
    log_.base_index = entry.index() - 1;
    log_.base_term = 0;  // unknown until AlignWithSnapshot sets it
  } else {
    log_.entries.resize(entry.index() - log_.base_index - 1);
  }
  log_.entries.push_back(std::move(entry));
  return absl::OkStatus();
}

absl::Status LogReplay::ApplyReset(const ParsedRecord& record) {
  LogReset reset;
  if (absl::Status status = ParseInto(record, &reset); !status.ok()) return status;
  log_.entries.clear();
  log_.base_index = reset.index();
  log_.base_term = reset.term();
  return absl::OkStatus();
}

void ResetToSnapshot(RecoveredLog* log, const SnapshotMetadata& snapshot) {
  log->entries.clear();
  log->base_index = snapshot.index();
  log->base_term = snapshot.term();
}

// Aligns the log with the snapshot: entries that don't continue the snapshot are discarded.
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
  // After compaction the base term is 0, that is, unknown; at the snapshot's index it can only be
  // the snapshot's term.
  if (term_in_log != snapshot.term() && !(index == log->base_index && log->base_term == 0)) {
    ResetToSnapshot(log, snapshot);
    return absl::OkStatus();
  }
  if (index == log->base_index) {
    log->base_term = snapshot.term();
  } else if (log->base_index > 0 && log->base_term == 0) {
    // The term before the first entry is unknown, so the first entry becomes the base.
    log->base_index = log->entries.front().index();
    log->base_term = log->entries.front().term();
    log->entries.erase(log->entries.begin());
  }
  return absl::OkStatus();
}

}  // namespace

absl::StatusOr<RecoveredLog> RecoverLog(const std::string& directory,
                                        const std::vector<SegmentFile>& files,
                                        const std::optional<SnapshotMetadata>& snapshot) {
  LogReplay replay(directory, snapshot.has_value() ? snapshot->index() : 0);
  for (size_t i = 0; i < files.size(); ++i) {
    if (i > 0 && files[i].sequence != files[i - 1].sequence + 1) {
      return absl::DataLossError(
          absl::StrCat("log segment before ", files[i].sequence, " is missing"));
    }
    const SegmentPosition position =
        i + 1 == files.size() ? SegmentPosition::kLast : SegmentPosition::kClosed;
    if (absl::Status status = replay.ApplySegment(files[i], position); !status.ok()) return status;
  }
  RecoveredLog& log = replay.log();
  log.repairs.push_back(SyncDirectory(directory));
  if (log.hard_state.replica_id() == 0 && (!log.entries.empty() || snapshot.has_value())) {
    return absl::DataLossError("log or snapshot exists without a replica id");
  }
  if (snapshot.has_value()) {
    if (absl::Status status = AlignWithSnapshot(&log, *snapshot); !status.ok()) return status;
  } else if (log.base_index > 0) {
    return absl::DataLossError("the log was compacted, but there is no snapshot");
  }
  return std::move(log);
}

}  // namespace posthatch::storage
