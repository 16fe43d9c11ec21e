#include "posthatch/storage/log_writer.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "posthatch/runtime/clock.h"
#include "posthatch/storage/snapshot_file.h"

namespace posthatch::storage {
namespace {

using runtime::FileOperation;
using Kind = FileOperation::Kind;

// Keeps the batches until the test lets them finish; applies them to files in memory.
class SteeredFileSystem : public runtime::FileSystem {
 public:
  void Submit(std::vector<FileOperation> operations, Done done) override {
    batches.push_back({std::move(operations), std::move(done)});
  }
  absl::StatusOr<std::string> ReadFile(const std::string& path) override {
    if (files.count(path) == 0) return absl::NotFoundError(path);
    return files[path];
  }
  absl::StatusOr<std::vector<std::string>> ListDirectory(const std::string& directory) override {
    std::vector<std::string> names;
    for (const auto& [path, contents] : files) names.push_back(path.substr(directory.size() + 1));
    return names;
  }

  // Runs the oldest batch, or with an error only its first `operations_done` operations.
  void FinishOne(const absl::Status& status = absl::OkStatus(), size_t operations_done = 99) {
    auto [operations, done] = std::move(batches.front());
    batches.pop_front();
    for (size_t i = 0; i < operations.size() && i < operations_done; ++i) Apply(operations[i]);
    done(status);
  }
  void FinishAll() {
    while (!batches.empty()) FinishOne();
  }

  std::deque<std::pair<std::vector<FileOperation>, Done>> batches;
  std::map<std::string, std::string> files;
  std::vector<FileOperation> applied;

 private:
  void Apply(const FileOperation& operation) {
    applied.push_back(operation);
    switch (operation.kind) {
      case Kind::kAppend:
        files[operation.path] += operation.data;
        break;
      case Kind::kFullWrite:
        files[operation.path] = operation.data;
        break;
      case Kind::kRename:
        files[operation.target] = files[operation.path];
        files.erase(operation.path);
        break;
      case Kind::kRemove:
        files.erase(operation.path);
        break;
      case Kind::kTruncate:
        files[operation.path].resize(operation.size);
        break;
      default:
        break;
    }
  }
};

class FixedClock : public runtime::Clock {
 public:
  runtime::MonotonicTime Now() const override { return runtime::MonotonicTime(); }
  int64_t WallNanoseconds() const override { return 0; }
};

class SteeredTimers : public runtime::TimerService {
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
  // Appends entry `index`; what became of it stands in outcomes_.
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
  SteeredTimers timers_;
  LogWriterOptions options_;
  RecoveredLog recovered_;
  std::unique_ptr<LogWriter> writer_;
  std::map<uint64_t, absl::Status> outcomes_;
};

TEST_F(LogWriterTest, BatchesThatGatherShareOneSync) {
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

TEST_F(LogWriterTest, FullDiskIsTriedAgainWithoutDoubledOrBrokenRecords) {
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

TEST_F(LogWriterTest, RemovesOldSegmentsOldestFirstEachMadeDurable) {
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
  EXPECT_EQ(directory->log.hard_state.replica_id(), 7U) << "repeated in each segment";
}

TEST_F(LogWriterTest, SnapshotAppearsUnderItsNameOnlyWhenSyncedAndReplacesTheFormer) {
  SnapshotWriter snapshots(&files_, options_.directory);
  Snapshot snapshot;
  snapshot.metadata.set_index(5);
  snapshot.data = std::string(3u << 20, 's');
  absl::Status result = absl::UnknownError("not yet");
  snapshots.Write(snapshot, [&result](const absl::Status& status) { result = status; });
  files_.FinishAll();
  ASSERT_TRUE(result.ok());
  bool synced = false;
  for (const FileOperation& operation : files_.applied) {
    EXPECT_TRUE(operation.kind != Kind::kRename || synced);
    synced = operation.kind == Kind::kSync;
  }
  EXPECT_EQ(files_.applied.back().kind, Kind::kSyncDirectory);
  snapshot.metadata.set_index(6);
  snapshots.Write(snapshot, [&result](const absl::Status& status) { result = status; });
  files_.FinishOne();
  files_.FinishOne(absl::ResourceExhaustedError("full"));
  files_.FinishAll();
  EXPECT_TRUE(absl::IsResourceExhausted(result));
  EXPECT_EQ(files_.files.size(), 1U) << "the former snapshot only";
  snapshots.Write(snapshot, [&result](const absl::Status& status) { result = status; });
  files_.FinishAll();
  EXPECT_TRUE(result.ok());
  EXPECT_EQ(files_.files.count(SnapshotPath(options_.directory, 5)), 0U);
  EXPECT_EQ(ParseSnapshot(files_.files.at(SnapshotPath(options_.directory, 6)))->data,
            snapshot.data);
}

}  // namespace
}  // namespace posthatch::storage
