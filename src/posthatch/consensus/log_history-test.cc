// Tests that LogHistory detects histories that violate its invariants.
#include "posthatch/consensus/log_history-test.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace posthatch::consensus {
namespace {

LogHistory::Operation NewOperation(bool is_read, const std::string& command, int64_t begin,
                                   int64_t end, uint64_t position) {
  return {is_read, command, begin, end, position};
}

TEST(LogHistoryTest, AcceptsLinearizableHistory) {
  LogHistory history;
  history.OnApplied("a", 1, "x");
  history.OnApplied("a", 2, "y");
  history.OnApplied("b", 1, "x");
  history.AddOperation(NewOperation(false, "x", 0, 10, 1));
  history.AddOperation(NewOperation(true, "", 5, 12, 2));
  history.AddOperation({false, "y", 8, std::nullopt, 0});
  history.AddOperation(NewOperation(true, "", 13, 14, 2));
  EXPECT_TRUE(history.Check(2).empty());
}

TEST(LogHistoryTest, DetectsLostCommand) {
  LogHistory history;
  history.OnApplied("a", 1, "x");
  history.AddOperation(NewOperation(false, "y", 0, 10, 2));
  EXPECT_FALSE(history.Check(1).empty());
  LogHistory truncated;
  truncated.OnApplied("a", 1, "x");
  truncated.AddOperation(NewOperation(false, "x", 0, 10, 1));
  EXPECT_FALSE(truncated.Check(0).empty());
}

TEST(LogHistoryTest, DetectsDivergedReplicasAndDuplicateCommands) {
  LogHistory diverged;
  diverged.OnApplied("a", 1, "x");
  diverged.OnApplied("b", 1, "y");
  EXPECT_FALSE(diverged.Check(1).empty());
  LogHistory duplicated;
  duplicated.OnApplied("a", 1, "x");
  duplicated.OnApplied("a", 2, "x");
  EXPECT_FALSE(duplicated.Check(2).empty());
}

TEST(LogHistoryTest, DetectsTwoLeadersAndTwoQuorums) {
  LogHistory history;
  history.OnLeader("a", 3);
  history.OnLeader("a", 3);
  EXPECT_TRUE(history.Check(0).empty());
  history.OnLeader("b", 3);
  EXPECT_FALSE(history.Check(0).empty());
  LogHistory quorums;
  quorums.OnTwoQuorums();
  EXPECT_FALSE(quorums.Check(0).empty());
}

TEST(LogHistoryTest, DetectsStaleAndFutureReads) {
  LogHistory stale;
  stale.OnApplied("a", 1, "x");
  stale.AddOperation(NewOperation(false, "x", 0, 10, 1));
  stale.AddOperation(NewOperation(true, "", 11, 12, 0));
  EXPECT_FALSE(stale.Check(1).empty());
  LogHistory regressed;
  regressed.OnApplied("a", 1, "x");
  regressed.AddOperation({false, "x", 0, std::nullopt, 0});
  regressed.AddOperation(NewOperation(true, "", 1, 2, 1));
  regressed.AddOperation(NewOperation(true, "", 3, 4, 0));
  EXPECT_FALSE(regressed.Check(1).empty());
  LogHistory future;
  future.OnApplied("a", 1, "x");
  future.AddOperation(NewOperation(true, "", 1, 2, 1));
  future.AddOperation(NewOperation(false, "x", 3, 4, 1));
  EXPECT_FALSE(future.Check(1).empty());
}

}  // namespace
}  // namespace posthatch::consensus
