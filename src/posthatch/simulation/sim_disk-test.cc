#include "posthatch/simulation/sim_disk.h"

#include <gtest/gtest.h>

#include <set>

#include "posthatch/simulation/sim_world.h"

namespace posthatch::simulation {
namespace {

using runtime::FileOperation;
using Kind = FileOperation::Kind;

FileOperation Operation(Kind kind, const std::string& path, const std::string& data = "",
                        const std::string& target = "") {
  return FileOperation{kind, path, data, target, 0};
}

class SimDiskTest : public testing::Test {
 protected:
  void Apply(Kind kind, const std::string& path, const std::string& data = "",
             const std::string& target = "") {
    EXPECT_TRUE(disk_.Apply(Operation(kind, path, data, target)).ok());
  }
  std::string Content(const std::string& path) { return disk_.ReadFile(path).value_or("missing"); }
  runtime::Random random_{1};
  SimDisk disk_{&random_};
};

TEST_F(SimDiskTest, OnlySyncedDataSurvivesPowerLoss) {
  Apply(Kind::kCreateDirectory, "log/a");
  Apply(Kind::kAppend, "log/a/1", "one");
  Apply(Kind::kSync, "log/a/1");
  Apply(Kind::kSyncDirectory, "log/a");
  Apply(Kind::kSyncDirectory, "log");
  disk_.PowerLoss();
  EXPECT_EQ(Content("log/a/1"), "missing") << "the entry of log itself was not synced";

  Apply(Kind::kCreateDirectory, "log");
  Apply(Kind::kSyncDirectory, "");
  Apply(Kind::kAppend, "log/1", "one");
  Apply(Kind::kSync, "log/1");
  Apply(Kind::kSyncDirectory, "log");
  Apply(Kind::kAppend, "log/2", "two");
  Apply(Kind::kSync, "log/2");
  disk_.PowerLoss();
  EXPECT_EQ(Content("log/1"), "one");
  EXPECT_EQ(Content("log/2"), "missing") << "content synced, entry not";
}

TEST_F(SimDiskTest, UnsyncedTailKeepsRandomPrefix) {
  std::set<std::string> seen;
  for (int round = 0; round < 100; ++round) {
    disk_.Wipe();
    Apply(Kind::kAppend, "f", "ab");
    Apply(Kind::kSync, "f");
    Apply(Kind::kSyncDirectory, ".");
    Apply(Kind::kAppend, "f", "cd");
    disk_.PowerLoss();
    seen.insert(Content("f"));
  }
  EXPECT_EQ(seen, (std::set<std::string>{"ab", "abc", "abcd"}));
}

TEST_F(SimDiskTest, PowerLossUndoesUnsyncedRenameAndRemove) {
  Apply(Kind::kAppend, "old", "old");
  Apply(Kind::kAppend, "gone", "kept");
  Apply(Kind::kSync, "old");
  Apply(Kind::kSync, "gone");
  Apply(Kind::kSyncDirectory, "");
  Apply(Kind::kAppend, "new", "new");
  Apply(Kind::kSync, "new");
  Apply(Kind::kRename, "new", "", "old");
  Apply(Kind::kRemove, "gone");
  EXPECT_EQ(Content("old"), "new");
  disk_.PowerLoss();
  EXPECT_EQ(Content("old"), "old");
  EXPECT_EQ(Content("gone"), "kept");
}

TEST_F(SimDiskTest, MissingFilesAndFoldersAreNotFound) {
  for (const Kind kind : {Kind::kSync, Kind::kTruncate, Kind::kRename, Kind::kSyncDirectory}) {
    EXPECT_TRUE(absl::IsNotFound(disk_.Apply(Operation(kind, "no", "", "target"))));
  }
  EXPECT_TRUE(absl::IsNotFound(disk_.Apply(Operation(Kind::kAppend, "no/file", "x"))));
  EXPECT_TRUE(absl::IsNotFound(disk_.ListDirectory("no").status()));
  EXPECT_TRUE(absl::IsNotFound(disk_.ReadFile("no").status()));
  EXPECT_TRUE(disk_.Apply(Operation(Kind::kRemove, "no")).ok());
  Apply(Kind::kAppend, "b", "");
  Apply(Kind::kAppend, "a", "");
  EXPECT_EQ(disk_.ListDirectory("").value(), (std::vector<std::string>{"a", "b"}));
}

TEST_F(SimDiskTest, FullDiskRejectsGrowth) {
  Apply(Kind::kAppend, "f", "data");
  disk_.set_full(true);
  EXPECT_TRUE(absl::IsResourceExhausted(disk_.Apply(Operation(Kind::kAppend, "f", "more"))));
  EXPECT_TRUE(absl::IsResourceExhausted(disk_.Apply(Operation(Kind::kAppend, "g", "x"))));
  EXPECT_TRUE(std::string("datamore").starts_with(Content("f")));
  Apply(Kind::kRemove, "f");
}

class SimFileSystemTest : public testing::TestWithParam<uint64_t> {};
INSTANTIATE_TEST_SUITE_P(Seeds, SimFileSystemTest, testing::Range<uint64_t>(1, 21));

TEST_P(SimFileSystemTest, CrashLeavesPrefixOfBatch) {
  SimWorld world(GetParam());
  SimHost* host = world.AddHost("a", "z", "10.0.0.1");
  host->SetBoot([](runtime::Runtime*) { return std::make_shared<int>(0); });
  host->SetDiskDelay(std::chrono::milliseconds(100));
  host->Start();
  std::string order;
  for (const char* text : {"1", "2", "3"}) {
    host->runtime()->file_system->Submit(
        {Operation(Kind::kAppend, "f", text), Operation(Kind::kSync, "f")},
        [&order, text](const absl::Status& status) {
          EXPECT_TRUE(status.ok());
          order += text;
        });
  }
  world.RunFor(std::chrono::milliseconds(250));
  EXPECT_EQ(order, "12");
  host->Crash();
  world.RunFor(std::chrono::seconds(1));
  EXPECT_EQ(order, "12") << "nothing completes after a crash";
  host->Start();
  const std::string content = host->runtime()->file_system->ReadFile("f").value();
  EXPECT_TRUE(content == "12" || content == "123") << content;
  host->Crash();
  host->LoseDisk();
  host->Start();
  EXPECT_TRUE(absl::IsNotFound(host->runtime()->file_system->ReadFile("f").status()));
}

}  // namespace
}  // namespace posthatch::simulation
