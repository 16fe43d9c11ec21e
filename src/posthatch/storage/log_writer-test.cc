#include "posthatch/storage/log_writer.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "posthatch/runtime/clock.h"
#include "posthatch/storage/file_names.h"
#include "posthatch/storage/log_recovery.h"
#include "posthatch/storage/snapshot_file.h"
#include "posthatch/storage/steered_file_system-test.h"

namespace posthatch::storage {
namespace {

using runtime::FileOperation;
using Kind = FileOperation::Kind;

class FixedClock : public runtime::Clock {
 public:
  runtime::MonotonicTime Now() const override { return runtime::MonotonicTime(); }
  int64_t WallNanoseconds() const override { return 0; }
};

class ManualTimers : public runtime::TimerService {
 public:
  runtime::TimerId Schedule(runtime::Duration, std::function<void()> callback) override {
    callbacks.push_back(std::move(callback));
    return callbacks.size();
  }
  void Cancel(runtime::TimerId) override {}
  std::vector<std::function<void()>> callbacks;
};

LogBatch NewBatch(uint64_t index) {
  LogBatch batch;
  batch.entries.emplace_back();
  batch.entries[0].set_index(index);
  batch.entries[0].set_term(1);
  batch.entries[0].set_data(std::string(100, 'x'));
  return batch;
}

class LogWriterTest : public testing::Test {
 protected:
  LogWriterTest() {
    options_.segment_bytes = 300;
    recovered_.hard_state.set_replica_id(7);
    writer_ = std::make_unique<LogWriter>(&files_, &clock_, &timers_, options_, recovered_);
  }
  // Appends entry `index` and stores the resulting status in outcomes_.
  void Append(uint64_t index) {
    writer_->Append(NewBatch(index),
                    [this, index](const absl::Status& status) { outcomes_[index] = status; });
  }
  size_t CountApplied(Kind kind) {
    size_t count = 0;
    for (const FileOperation& operation : files_.applied) count += operation.kind == kind ? 1 : 0;
    return count;
  }

  SteeredFileSystem files_;
  FixedClock clock_;
  ManualTimers timers_;
  LogWriterOptions options_;
  RecoveredLog recovered_;
  std::unique_ptr<LogWriter> writer_;
  std::map<uint64_t, absl::Status> outcomes_;
};

TEST_F(LogWriterTest, QueuedBatchesShareOneSync) {
  Append(1);
  for (uint64_t index = 2; index <= 100; ++index) Append(index);
  ASSERT_EQ(files_.batches.size(), 1U);
  files_.FinishOne();
  EXPECT_EQ(outcomes_.size(), 1U) << "only the first write has finished";
  files_.FinishOne();
  EXPECT_EQ(outcomes_.size(), 100U);
  EXPECT_EQ(CountApplied(Kind::kSync), 2U);
  const absl::StatusOr<RecoveredDirectory> directory =
      RecoverDirectory(&files_, options_.directory);
  ASSERT_TRUE(directory.ok()) << directory.status();
  EXPECT_EQ(directory->log.entries.size(), 100U);
}

TEST_F(LogWriterTest, FullDiskIsRetriedWithoutDuplicateOrDamagedRecords) {
  Append(1);
  files_.FinishOne();
  Append(2);
  Append(3);
  files_.FinishOne(absl::ResourceExhaustedError("full"), 1);  // written, but not synced
  EXPECT_TRUE(writer_->disk_full());
  EXPECT_EQ(outcomes_.size(), 1U);
  timers_.callbacks.back()();
  files_.FinishAll();
  EXPECT_FALSE(writer_->disk_full());
  EXPECT_TRUE(outcomes_.at(2).ok() && outcomes_.at(3).ok());
  const absl::StatusOr<RecoveredDirectory> directory =
      RecoverDirectory(&files_, options_.directory);
  ASSERT_TRUE(directory.ok()) << directory.status();
  EXPECT_EQ(directory->log.entries.size(), 3U);
}

TEST_F(LogWriterTest, FailedSyncEndsTheWriter) {
  Append(1);
  Append(2);
  files_.FinishOne(absl::InternalError("sync failed"), 1);
  EXPECT_EQ(outcomes_.at(1).code(), absl::StatusCode::kInternal);
  EXPECT_EQ(outcomes_.at(2).code(), absl::StatusCode::kInternal);
  Append(3);
  EXPECT_EQ(outcomes_.at(3).code(), absl::StatusCode::kInternal);
  EXPECT_TRUE(files_.batches.empty());
}

TEST_F(LogWriterTest, RemovesOldestSegmentsFirstAndDurably) {
  for (uint64_t index = 1; index <= 20; ++index) {
    Append(index);
    files_.FinishAll();
  }
  ASSERT_GT(writer_->segment_count(), 4U);
  files_.applied.clear();
  writer_->RemovePrefix(15);
  files_.FinishAll();
  uint64_t removed = 0;
  for (size_t i = 0; i + 1 < files_.applied.size(); i += 2) {
    EXPECT_EQ(files_.applied[i].kind, Kind::kRemove);
    EXPECT_EQ(files_.applied[i].path, SegmentPath(options_.directory, ++removed));
    EXPECT_EQ(files_.applied[i + 1].kind, Kind::kSyncDirectory);
  }
  EXPECT_GT(removed, 2U);
  SnapshotMetadata metadata;
  metadata.set_index(15);
  metadata.set_term(1);
  files_.files[SnapshotPath(options_.directory, 15)] = EncodeSnapshot({metadata, "state"});
  const absl::StatusOr<RecoveredDirectory> directory =
      RecoverDirectory(&files_, options_.directory);
  ASSERT_TRUE(directory.ok()) << directory.status();
  EXPECT_EQ(directory->log.entries.back().index(), 20U);
  EXPECT_EQ(directory->log.hard_state.replica_id(), 7U)
      << "the hard state is repeated in each segment";
}

}  // namespace
}  // namespace posthatch::storage
