#include "posthatch/storage/file_names.h"

#include <gtest/gtest.h>

namespace posthatch::storage {
namespace {

// The part of a path after the directory.
std::string NameOf(const std::string& path) { return path.substr(path.rfind('/') + 1); }

TEST(FileNamesTest, NamesAreFixedWidthAndParseBack) {
  EXPECT_EQ(SegmentPath("raft", 7), "raft/log-0000000000000007");
  EXPECT_EQ(SnapshotPath("raft", 12), "raft/snapshot-0000000000000012");
  EXPECT_EQ(*ParseSegmentName(NameOf(SegmentPath("raft", 7))), 7U);
  EXPECT_EQ(*ParseSnapshotName(NameOf(SnapshotPath("raft", 12))), 12U);
}

struct NameCase {
  const char* name;
  bool segment;
  bool snapshot;
  bool temporary;
};

class FileNameTest : public testing::TestWithParam<NameCase> {};

TEST_P(FileNameTest, IsClassified) {
  const NameCase& expected = GetParam();
  EXPECT_EQ(IsSegmentName(expected.name), expected.segment);
  EXPECT_EQ(IsSnapshotName(expected.name), expected.snapshot);
  EXPECT_EQ(IsTemporaryName(expected.name), expected.temporary);
}

INSTANTIATE_TEST_SUITE_P(Names, FileNameTest,
                         testing::Values(NameCase{"log-0000000000000001", true, false, false},
                                         NameCase{"snapshot-0000000000000009", false, true, false},
                                         NameCase{"snapshot-0000000000000009.tmp", false, false,
                                                  true},
                                         NameCase{"peers", false, false, false}));

TEST(FileNamesTest, RejectsNamesWithoutANumber) {
  EXPECT_TRUE(absl::IsDataLoss(ParseSegmentName("log-backup").status()));
  EXPECT_TRUE(absl::IsDataLoss(ParseSnapshotName("snapshot-").status()));
}

}  // namespace
}  // namespace posthatch::storage
