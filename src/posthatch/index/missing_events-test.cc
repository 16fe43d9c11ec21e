#include "posthatch/index/missing_events.h"

#include <gtest/gtest.h>

namespace posthatch::index {
namespace {

using std::chrono::milliseconds;

constexpr runtime::MonotonicTime kStart = runtime::MonotonicTime(std::chrono::seconds(100));

TEST(MissingEventsTest, NumberIsLostAfterReorderWindow) {
  MissingEvents missing(milliseconds(500), /*tolerated_share=*/0);
  ASSERT_TRUE(missing.Add(7, 8, kStart));
  EXPECT_EQ(missing.next_expiry(), kStart + milliseconds(500));
  EXPECT_FALSE(missing.Expire(kStart + milliseconds(499)));
  EXPECT_TRUE(missing.Remove(7)) << "arrived out of order";
  EXPECT_FALSE(missing.Remove(7)) << "a duplicate";
  EXPECT_TRUE(missing.Expire(kStart + milliseconds(500)));
  EXPECT_EQ(missing.next_expiry(), std::nullopt);
}

TEST(MissingEventsTest, ToleratesShareOfRecentEvents) {
  MissingEvents missing(milliseconds(500), /*tolerated_share=*/0.1);
  for (int i = 0; i < 10; ++i) missing.CountEvent();
  // The share is taken of at least 50 events, so five may be lost.
  ASSERT_TRUE(missing.Add(1, 5, kStart));
  EXPECT_FALSE(missing.Expire(kStart + milliseconds(500)));
  ASSERT_TRUE(missing.Add(6, 6, kStart));
  EXPECT_TRUE(missing.Expire(kStart + milliseconds(500)));
}

TEST(MissingEventsTest, LargeGapIsLostAtOnce) {
  MissingEvents missing(milliseconds(500), /*tolerated_share=*/0);
  EXPECT_FALSE(missing.Add(1, 1001, kStart));
  EXPECT_EQ(missing.next_expiry(), std::nullopt);
}

}  // namespace
}  // namespace posthatch::index
