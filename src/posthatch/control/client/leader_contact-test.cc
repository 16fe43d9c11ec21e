#include "posthatch/control/client/leader_contact.h"

#include <gtest/gtest.h>

#include <chrono>

#include "posthatch/test_support/fake_trace-test.h"

namespace posthatch::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ManualClock : public runtime::Clock {
 public:
  runtime::MonotonicTime Now() const override { return now; }
  int64_t WallNanoseconds() const override { return 0; }

  runtime::MonotonicTime now{std::chrono::hours(1)};
};

class LeaderContactTest : public testing::Test {
 protected:
  LeaderContactTest() {
    runtime_.clock = &clock_;
    runtime_.trace = &trace_;
    runtime_.metrics = &registry_;
  }

  ManualClock clock_;
  test_support::FakeTrace trace_;
  prometheus::Registry registry_;
  runtime::Runtime runtime_;
  GatewaySessionMetrics metrics_{&registry_};
};

TEST_F(LeaderContactTest, ReportsALongGapAndWhomItAsked) {
  LeaderContact contact(&runtime_, &metrics_);
  for (const char* controller : {"c2:1", "c1:1", "c2:1"}) {
    contact.OnRenewalSent(controller);
    clock_.now += seconds(1);
  }
  contact.OnLeaderResponse("c1:1");
  EXPECT_EQ(trace_.events.size(), 1U);
  EXPECT_EQ(trace_.Field("LeaderContactRegained", "leader"), "c1:1");
  EXPECT_EQ(trace_.Field("LeaderContactRegained", "asked"), "c1:1,c2:1");
  EXPECT_EQ(trace_.Field("LeaderContactRegained", "renewals"), "3");
  EXPECT_EQ(trace_.Field("LeaderContactRegained", "gap_ms"), "3000.000000");
}

TEST_F(LeaderContactTest, EachResponseBeginsANewGap) {
  LeaderContact contact(&runtime_, &metrics_);
  for (int renewal = 0; renewal < 5; ++renewal) {
    contact.OnRenewalSent("c1:1");
    clock_.now += milliseconds(1200);
    contact.OnLeaderResponse("c1:1");
  }
  EXPECT_TRUE(trace_.events.empty());
}

}  // namespace
}  // namespace posthatch::control
