#include "posthatch/control/server/control_history-test.h"

#include <gtest/gtest.h>

namespace posthatch::control {
namespace {

runtime::MonotonicTime At(int64_t ms) {
  return runtime::MonotonicTime(std::chrono::milliseconds(ms));
}

// A history without fault, which each test then breaks in one way.
ControlHistory GoodHistory() {
  ControlHistory history;
  history.Decide({At(0), "g1", 1, 1});
  history.Decide({At(100), "g1", 1, 2});
  history.GiveOrder({At(50), "w1", "g1", 10});
  history.GiveOrder({At(5000), "w1", "g2", 12});
  history.Acknowledge({At(100), "change", 2});
  history.SetFinalHistory({{1, "first"}, {2, "change"}});
  return history;
}

TEST(ControlHistoryTest, AGoodHistoryPasses) {
  EXPECT_TRUE(GoodHistory().Violations(runtime::Duration::zero()).empty());
}

TEST(ControlHistoryTest, DecidingByAnOlderVersionAfterTheAcknowledgementIsFound) {
  ControlHistory history = GoodHistory();
  history.Decide({At(2200), "g2", 1, 1});
  EXPECT_EQ(history.Violations(std::chrono::seconds(2)).size(), 1);
  EXPECT_EQ(history.Violations(std::chrono::seconds(3)).size(), 0);
}

TEST(ControlHistoryTest, GoingBackIsFound) {
  ControlHistory history = GoodHistory();
  history.Decide({At(110), "g1", 1, 1});
  EXPECT_EQ(history.Violations(std::chrono::seconds(2)).size(), 1);
}

TEST(ControlHistoryTest, TwoWinnersAndChangedAnswersAreFound) {
  ControlHistory two_winners = GoodHistory();
  two_winners.Acknowledge({At(200), "rival", 2});
  EXPECT_EQ(two_winners.Violations({}).size(), 2);  // the rival is also missing in the end
  ControlHistory changed_answer = GoodHistory();
  changed_answer.Acknowledge({At(200), "change", 1});
  EXPECT_FALSE(changed_answer.Violations({}).empty());
}

TEST(ControlHistoryTest, LostAndDoubledChangesAreFound) {
  ControlHistory lost = GoodHistory();
  lost.SetFinalHistory({{1, "first"}});
  EXPECT_EQ(lost.Violations({}).size(), 1);
  ControlHistory doubled = GoodHistory();
  doubled.SetFinalHistory({{1, "first"}, {2, "change"}, {3, "change"}});
  EXPECT_EQ(doubled.Violations({}).size(), 1);
}

TEST(ControlHistoryTest, ARefusedChangeThatWasAppliedIsFound) {
  ControlHistory history = GoodHistory();
  history.Refuse("change");
  EXPECT_EQ(history.Violations({}).size(), 1);
}

TEST(ControlHistoryTest, AnOlderTokenAfterANewerOneIsFound) {
  ControlHistory history = GoodHistory();
  history.GiveOrder({At(5001), "w1", "g1", 10});
  EXPECT_EQ(history.Violations({}).size(), 1);
}

}  // namespace
}  // namespace posthatch::control
