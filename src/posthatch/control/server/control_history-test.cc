#include "posthatch/control/server/control_history-test.h"

#include <gtest/gtest.h>

namespace posthatch::control {
namespace {

runtime::MonotonicTime At(int64_t ms) {
  return runtime::MonotonicTime(std::chrono::milliseconds(ms));
}

// A history without violations, which each test then breaks in one way.
ControlHistory FaultlessHistory() {
  ControlHistory history;
  history.RecordDecision({At(0), "g1", 1, 1});
  history.RecordDecision({At(100), "g1", 1, 2});
  history.RecordWorkerCommand({At(50), "w1", "g1", 10});
  history.RecordWorkerCommand({At(5000), "w1", "g2", 12});
  history.RecordAcknowledgement({At(100), "change", 2});
  history.SetFinalHistory({{1, "first"}, {2, "change"}});
  return history;
}

TEST(ControlHistoryTest, AcceptsFaultlessHistory) {
  EXPECT_TRUE(FaultlessHistory().Violations(runtime::Duration::zero()).empty());
}

TEST(ControlHistoryTest, DetectsStaleDecision) {
  ControlHistory history = FaultlessHistory();
  history.RecordDecision({At(2200), "g2", 1, 1});
  EXPECT_EQ(history.Violations(std::chrono::seconds(2)).size(), 1);
  EXPECT_EQ(history.Violations(std::chrono::seconds(3)).size(), 0);
}

TEST(ControlHistoryTest, DetectsVersionRegression) {
  ControlHistory history = FaultlessHistory();
  history.RecordDecision({At(110), "g1", 1, 1});
  EXPECT_EQ(history.Violations(std::chrono::seconds(2)).size(), 1);
}

TEST(ControlHistoryTest, DetectsTwoWinnersAndChangedResults) {
  ControlHistory two_winners = FaultlessHistory();
  two_winners.RecordAcknowledgement({At(200), "rival", 2});
  // The second violation: "rival" is missing from the final history.
  EXPECT_EQ(two_winners.Violations({}).size(), 2);
  ControlHistory changed_result = FaultlessHistory();
  changed_result.RecordAcknowledgement({At(200), "change", 1});
  EXPECT_FALSE(changed_result.Violations({}).empty());
}

TEST(ControlHistoryTest, DetectsLostAndDuplicatedChanges) {
  ControlHistory lost = FaultlessHistory();
  lost.SetFinalHistory({{1, "first"}});
  EXPECT_EQ(lost.Violations({}).size(), 1);
  ControlHistory doubled = FaultlessHistory();
  doubled.SetFinalHistory({{1, "first"}, {2, "change"}, {3, "change"}});
  EXPECT_EQ(doubled.Violations({}).size(), 1);
}

TEST(ControlHistoryTest, DetectsAppliedChangeReportedAsRejected) {
  ControlHistory history = FaultlessHistory();
  history.RecordRejection("change");
  EXPECT_EQ(history.Violations({}).size(), 1);
}

TEST(ControlHistoryTest, DetectsFencingTokenRegression) {
  ControlHistory history = FaultlessHistory();
  history.RecordWorkerCommand({At(5001), "w1", "g1", 10});
  EXPECT_EQ(history.Violations({}).size(), 1);
}

}  // namespace
}  // namespace posthatch::control
