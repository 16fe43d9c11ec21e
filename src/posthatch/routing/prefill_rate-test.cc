#include "posthatch/routing/prefill_rate.h"

#include <gtest/gtest.h>

namespace posthatch::routing {
namespace {

using std::chrono::milliseconds;

TEST(PrefillRateTest, ApproachesMedian) {
  PrefillRate rate;
  for (int i = 0; i < 200; ++i) {
    rate.Record(10000, milliseconds(200));                   // 50 tokens per millisecond
    if (i % 4 == 0) rate.Record(10000, milliseconds(20));    // cached, without the index knowing
    if (i % 4 == 1) rate.Record(10000, milliseconds(2000));  // includes waiting time
  }
  EXPECT_NEAR(rate.tokens_per_ms(), 50, 4);
}

}  // namespace
}  // namespace posthatch::routing
