#include "posthatch/storage/log_recovery.h"

#include <gtest/gtest.h>

#include <string>

#include "posthatch/storage/file_names.h"
#include "posthatch/storage/record_format.h"
#include "posthatch/storage/snapshot_file.h"

namespace posthatch::storage {
namespace {

LogEntry NewEntry(uint64_t index, uint64_t term) {
  LogEntry entry;
  entry.set_index(index);
  entry.set_term(term);
  entry.set_data("data " + std::to_string(index) + " of " + std::to_string(term));
  return entry;
}

// Builds a segment batch by batch, like LogWriter.
class SegmentBuilder {
 public:
  explicit SegmentBuilder(uint64_t sequence) : contents_(EncodeSegmentHeader(sequence)) {
    HardState hard_state;
    hard_state.set_replica_id(5);
    AppendRecord(RecordType::kHardState, hard_state.SerializeAsString(), 0, &contents_);
    batch_starts_.push_back(contents_.size());
  }
  SegmentBuilder& Batch(const std::vector<LogEntry>& entries) {
    const uint64_t start = contents_.size();
    for (const LogEntry& entry : entries) {
      AppendRecord(RecordType::kEntry, entry.SerializeAsString(), start, &contents_);
    }
    batch_starts_.push_back(contents_.size());
    return *this;
  }
  SegmentBuilder& Reset(uint64_t index, uint64_t term) {
    LogReset reset;
    reset.set_index(index);
    reset.set_term(term);
    AppendRecord(RecordType::kReset, reset.SerializeAsString(), contents_.size(), &contents_);
    return *this;
  }
  const std::string& contents() const { return contents_; }
  // Size of the segment after `count` batches.
  size_t SizeAfter(size_t count) const { return batch_starts_[count]; }

 private:
  std::string contents_;
  std::vector<size_t> batch_starts_;
};

absl::StatusOr<RecoveredLog> Recover(const std::vector<std::string>& segments,
                                     const std::optional<SnapshotMetadata>& snapshot = {},
                                     uint64_t first_sequence = 1) {
  std::vector<SegmentFile> files;
  files.reserve(segments.size());
  for (const std::string& contents : segments) files.push_back({first_sequence++, contents});
  return RecoverLog("raft", files, snapshot);
}

std::vector<std::pair<uint64_t, uint64_t>> IndexesAndTerms(const RecoveredLog& log) {
  std::vector<std::pair<uint64_t, uint64_t>> result;
  for (const LogEntry& entry : log.entries) result.emplace_back(entry.index(), entry.term());
  return result;
}

SnapshotMetadata NewMetadata(uint64_t index, uint64_t term) {
  SnapshotMetadata metadata;
  metadata.set_index(index);
  metadata.set_term(term);
  return metadata;
}

TEST(LogRecoveryTest, Crc32cMatchesStandardTestVector) {  // RFC 3720, appendix B.4
  EXPECT_EQ(Crc32c(std::string(32, '\0')), 0x8a9136aaU);
  EXPECT_EQ(Crc32c(std::string(32, '\xff')), 0x62a8ab43U);
}

TEST(LogRecoveryTest, LaterEntryReplacesAllFromItsIndex) {
  SegmentBuilder segment(1);
  segment.Batch({NewEntry(1, 1), NewEntry(2, 1), NewEntry(3, 1)}).Batch({NewEntry(2, 2)});
  const absl::StatusOr<RecoveredLog> log = Recover({segment.contents()});
  ASSERT_TRUE(log.ok()) << log.status();
  EXPECT_EQ(IndexesAndTerms(*log), (std::vector<std::pair<uint64_t, uint64_t>>{{1, 1}, {2, 2}}));
  EXPECT_EQ(log->hard_state.replica_id(), 5U);
}

TEST(LogRecoveryTest, TruncatedTailLosesOnlyUnsyncedRecords) {
  SegmentBuilder segment(1);
  segment.Batch({NewEntry(1, 1)}).Batch({NewEntry(2, 1), NewEntry(3, 1)});
  for (size_t size = segment.SizeAfter(1); size < segment.contents().size(); ++size) {
    const absl::StatusOr<RecoveredLog> log = Recover({segment.contents().substr(0, size)});
    ASSERT_TRUE(log.ok()) << size << ": " << log.status();
    EXPECT_GE(log->entries.size(), 1U);
    EXPECT_EQ(log->entries[0].index(), 1U);
    const auto& repair = log->repairs.front();
    if (size == segment.SizeAfter(1)) continue;
    if (log->entries.size() == 1) {
      EXPECT_EQ(repair.kind, runtime::FileOperation::Kind::kTruncate);
      EXPECT_EQ(repair.size, segment.SizeAfter(1));
    }
  }
}

TEST(LogRecoveryTest, ExtendedButUnwrittenFileIsTornTail) {
  SegmentBuilder segment(1);
  segment.Batch({NewEntry(1, 1)});
  const absl::StatusOr<RecoveredLog> log = Recover({segment.contents() + std::string(4096, '\0')});
  ASSERT_TRUE(log.ok()) << log.status();
  EXPECT_EQ(log->entries.size(), 1U);
}

TEST(LogRecoveryTest, ReportsEveryFlippedBitInSyncedBatch) {
  SegmentBuilder segment(1);
  segment.Batch({NewEntry(1, 1)}).Batch({NewEntry(2, 1)}).Batch({NewEntry(3, 1)});
  for (size_t at = 0; at < segment.SizeAfter(2); ++at) {
    for (int bit : {0, 5}) {
      std::string damaged = segment.contents();
      damaged[at] = static_cast<char>(damaged[at] ^ (1 << bit));
      EXPECT_FALSE(Recover({damaged}).ok()) << "byte " << at;
    }
  }
}

TEST(LogRecoveryTest, FlippedBitInLastBatchIsNoTornTail) {
  SegmentBuilder segment(1);
  segment.Batch({NewEntry(1, 1)}).Batch({NewEntry(2, 1)});
  std::string damaged = segment.contents();
  damaged.back() = static_cast<char>(damaged.back() ^ 1);
  EXPECT_TRUE(absl::IsDataLoss(Recover({damaged}).status()));
}

TEST(LogRecoveryTest, DamageInUnsyncedBatchIsTornTail) {
  // The later record of a batch reached the disk, a sector of the earlier one did not.
  SegmentBuilder segment(1);
  segment.Batch({NewEntry(1, 1)});
  const size_t begin = segment.contents().size();
  LogEntry large = NewEntry(2, 1);
  large.set_data(std::string(2000, 'x'));
  segment.Batch({large, NewEntry(3, 1)});
  std::string torn = segment.contents();
  torn.replace((begin / 512 + 2) * 512, 512, std::string(512, '\0'));
  const absl::StatusOr<RecoveredLog> log = Recover({torn});
  ASSERT_TRUE(log.ok()) << log.status();
  EXPECT_EQ(log->entries.size(), 1U);
}

TEST(LogRecoveryTest, RejectsTruncatedOrMissingSegmentsInTheMiddle) {
  SegmentBuilder first(1);
  first.Batch({NewEntry(1, 1)});
  SegmentBuilder second(2);
  second.Batch({NewEntry(2, 1)});
  SegmentBuilder third(3);
  third.Batch({NewEntry(3, 1)});
  EXPECT_TRUE(Recover({first.contents(), second.contents(), third.contents()}).ok());
  const std::string truncated = second.contents().substr(0, second.contents().size() - 3);
  EXPECT_TRUE(absl::IsDataLoss(Recover({first.contents(), truncated, third.contents()}).status()));
  EXPECT_TRUE(absl::IsDataLoss(
      RecoverLog("raft", {{1, first.contents()}, {3, third.contents()}}, {}).status()));
  EXPECT_TRUE(absl::IsDataLoss(Recover({second.contents()}, {}, 2).status()))
      << "begins at entry 2 without a snapshot";
}

TEST(LogRecoveryTest, RejectsUnknownFormatVersions) {
  SegmentBuilder segment(1);
  std::string newer = segment.contents();
  newer[8] = 2;
  EXPECT_TRUE(absl::IsFailedPrecondition(Recover({newer}).status()));
  std::string snapshot = EncodeSnapshot({NewMetadata(3, 1), "state"});
  snapshot[8] = 2;
  EXPECT_TRUE(absl::IsFailedPrecondition(ParseSnapshot(snapshot).status()));
}

TEST(LogRecoveryTest, RemovesSegmentWithUnsyncedHeader) {
  SegmentBuilder first(1);
  first.Batch({NewEntry(1, 1)});
  const std::string torn = EncodeSegmentHeader(2).substr(0, 10);
  const absl::StatusOr<RecoveredLog> log = Recover({first.contents(), torn});
  ASSERT_TRUE(log.ok()) << log.status();
  EXPECT_EQ(log->next_sequence, 2U);
  EXPECT_EQ(log->entries.size(), 1U);
}

TEST(LogRecoveryTest, LogContinuesOrIsReplacedBySnapshot) {
  SegmentBuilder segment(1);
  segment.Batch({NewEntry(1, 1), NewEntry(2, 1), NewEntry(3, 1)});
  const absl::StatusOr<RecoveredLog> same = Recover({segment.contents()}, NewMetadata(2, 1));
  ASSERT_TRUE(same.ok());
  EXPECT_EQ(same->base_index + same->entries.size(), 3U);
  const absl::StatusOr<RecoveredLog> other = Recover({segment.contents()}, NewMetadata(2, 7));
  ASSERT_TRUE(other.ok());
  EXPECT_EQ(other->base_index, 2U);
  EXPECT_EQ(other->base_term, 7U);
  EXPECT_TRUE(other->entries.empty());
  const absl::StatusOr<RecoveredLog> behind = Recover({segment.contents()}, NewMetadata(9, 2));
  ASSERT_TRUE(behind.ok());
  EXPECT_EQ(behind->base_index, 9U);
}

TEST(LogRecoveryTest, ResetDiscardsEarlierEntriesAndKeepsLaterOnes) {
  SegmentBuilder segment(1);
  segment.Batch({NewEntry(1, 1), NewEntry(2, 1), NewEntry(3, 1)}).Reset(2, 4);
  segment.Batch({NewEntry(3, 4)});
  const absl::StatusOr<RecoveredLog> log = Recover({segment.contents()}, NewMetadata(2, 4));
  ASSERT_TRUE(log.ok()) << log.status();
  EXPECT_EQ(IndexesAndTerms(*log), (std::vector<std::pair<uint64_t, uint64_t>>{{3, 4}}));
}

TEST(LogRecoveryTest, ReportsGapAfterSnapshot) {
  SegmentBuilder segment(4);
  segment.Batch({NewEntry(8, 1)});
  EXPECT_TRUE(Recover({segment.contents()}, NewMetadata(7, 1), 4).ok());
  EXPECT_TRUE(absl::IsDataLoss(Recover({segment.contents()}, NewMetadata(6, 1), 4).status()));
}

TEST(SnapshotFileTest, ReportsEveryFlippedBitAndTruncation) {
  const std::string contents = EncodeSnapshot({NewMetadata(3, 1), "the state"});
  ASSERT_TRUE(ParseSnapshot(contents).ok());
  EXPECT_EQ(ParseSnapshot(contents)->data, "the state");
  for (size_t at = 0; at < contents.size(); ++at) {
    std::string damaged = contents;
    damaged[at] = static_cast<char>(damaged[at] ^ 4);
    EXPECT_FALSE(ParseSnapshot(damaged).ok()) << at;
    EXPECT_FALSE(ParseSnapshot(contents.substr(0, at)).ok()) << at;
  }
}

}  // namespace
}  // namespace posthatch::storage
