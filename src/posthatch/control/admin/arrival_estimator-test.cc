#include "posthatch/control/admin/arrival_estimator.h"

#include <gtest/gtest.h>

#include "posthatch/test_support/fake_timers-test.h"

namespace posthatch::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ArrivalEstimatorTest : public testing::Test {
 protected:
  runtime::MonotonicTime now() const { return clock_.now; }

  test_support::FakeClock clock_;
  test_support::FakeTimers timers_{&clock_};
  runtime::Runtime runtime_;
  ArrivalEstimator estimator_{Prepared(), ArrivalEstimatorOptions()};

 private:
  runtime::Runtime* Prepared() {
    runtime_.clock = &clock_;
    runtime_.timers = &timers_;
    return &runtime_;
  }
};

TEST_F(ArrivalEstimatorTest, KeepsTimeWithoutPause) {
  for (int i = 0; i < 100; ++i) {
    timers_.Advance(milliseconds(37));
    const Arrival arrival = estimator_.Estimate(now() - milliseconds(3));
    EXPECT_EQ(arrival.sent_after, now() - milliseconds(3));
    EXPECT_FALSE(arrival.may_have_waited);
  }
}

TEST_F(ArrivalEstimatorTest, ConnectionAcceptedAfterThawIsAsOldAsFreeze) {
  timers_.Advance(seconds(2));
  const runtime::MonotonicTime frozen_at = now();
  timers_.Freeze(seconds(3));
  // Before the timer has run.
  Arrival arrival = estimator_.Estimate(now());
  EXPECT_LE(arrival.sent_after, frozen_at);
  EXPECT_TRUE(arrival.may_have_waited);
  // Still accepting what has waited.
  timers_.Advance(milliseconds(700));
  arrival = estimator_.Estimate(now());
  EXPECT_LE(arrival.sent_after, frozen_at);
  EXPECT_TRUE(arrival.may_have_waited);
  timers_.Advance(milliseconds(600));
  arrival = estimator_.Estimate(now());
  EXPECT_EQ(arrival.sent_after, now());
  EXPECT_FALSE(arrival.may_have_waited);
}

TEST_F(ArrivalEstimatorTest, RequestOnOpenConnectionMayHaveWaitedDuringPause) {
  const runtime::MonotonicTime last_response = now();
  timers_.Advance(seconds(2));
  timers_.Freeze(seconds(3));
  Arrival arrival = estimator_.Estimate(last_response);
  EXPECT_EQ(arrival.sent_after, last_response);
  EXPECT_TRUE(arrival.may_have_waited);
  timers_.Advance(seconds(2));
  arrival = estimator_.Estimate(last_response);
  EXPECT_EQ(arrival.sent_after, last_response);
  EXPECT_FALSE(arrival.may_have_waited);
}

// In a series of freezes the process may run too briefly to accept what waits.
TEST_F(ArrivalEstimatorTest, FreezesInQuickSeriesCountAsOne) {
  timers_.Advance(seconds(2));
  const runtime::MonotonicTime frozen_at = now();
  for (int i = 0; i < 5; ++i) {
    timers_.Freeze(seconds(2));
    timers_.Advance(milliseconds(200));
  }
  const Arrival arrival = estimator_.Estimate(now());
  EXPECT_LE(arrival.sent_after, frozen_at);
  EXPECT_TRUE(arrival.may_have_waited);
}

// A connection that was accepted right after one pause, and whose request is handled after another.
TEST_F(ArrivalEstimatorTest, RemembersEarlierPauses) {
  timers_.Advance(seconds(2));
  const runtime::MonotonicTime frozen_at = now();
  timers_.Freeze(seconds(2));
  timers_.Advance(milliseconds(150));
  const runtime::MonotonicTime accepted_at = now();
  timers_.Advance(seconds(3));
  timers_.Freeze(seconds(2));
  EXPECT_LE(estimator_.Estimate(accepted_at).sent_after, frozen_at);
}

TEST_F(ArrivalEstimatorTest, ShortGapsAreNoPauses) {
  for (int i = 0; i < 50; ++i) {
    timers_.Freeze(milliseconds(150));
    timers_.Advance(milliseconds(100));
    EXPECT_FALSE(estimator_.Estimate(now()).may_have_waited);
  }
}

}  // namespace
}  // namespace posthatch::control
