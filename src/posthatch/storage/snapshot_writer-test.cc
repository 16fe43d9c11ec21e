#include "posthatch/storage/snapshot_writer.h"

#include <gtest/gtest.h>

#include <string>

#include "posthatch/storage/file_names.h"
#include "posthatch/storage/steered_file_system-test.h"

namespace posthatch::storage {
namespace {

using runtime::FileOperation;
using Kind = FileOperation::Kind;

TEST(SnapshotWriterTest, PublishesOnlyWhenSyncedAndReplacesThePreviousSnapshot) {
  SteeredFileSystem file_system;
  SnapshotWriter snapshots(&file_system, "raft");
  Snapshot snapshot;
  snapshot.metadata.set_index(5);
  snapshot.data = std::string(3u << 20, 's');
  absl::Status result = absl::UnknownError("not yet");
  snapshots.Write(snapshot, [&result](const absl::Status& status) { result = status; });
  file_system.FinishAll();
  ASSERT_TRUE(result.ok());
  bool synced = false;
  for (const FileOperation& operation : file_system.applied) {
    EXPECT_TRUE(operation.kind != Kind::kRename || synced);
    synced = operation.kind == Kind::kSync;
  }
  EXPECT_EQ(file_system.applied.back().kind, Kind::kSyncDirectory);
  snapshot.metadata.set_index(6);
  snapshots.Write(snapshot, [&result](const absl::Status& status) { result = status; });
  file_system.FinishOne();
  file_system.FinishOne(absl::ResourceExhaustedError("full"));
  file_system.FinishAll();
  EXPECT_TRUE(absl::IsResourceExhausted(result));
  EXPECT_EQ(file_system.files.size(), 1U) << "the previous snapshot only";
  snapshots.Write(snapshot, [&result](const absl::Status& status) { result = status; });
  file_system.FinishAll();
  EXPECT_TRUE(result.ok());
  EXPECT_EQ(file_system.files.count(SnapshotPath("raft", 5)), 0U);
  EXPECT_EQ(ParseSnapshot(file_system.files.at(SnapshotPath("raft", 6)))->data, snapshot.data);
}

}  // namespace
}  // namespace posthatch::storage
