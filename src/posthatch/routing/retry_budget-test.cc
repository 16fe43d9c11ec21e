#include "posthatch/routing/retry_budget.h"

#include <gtest/gtest.h>

#include "posthatch/gateway/gateway_fakes-test.h"

namespace posthatch::routing {
namespace {

TEST(RetryBudgetTest, FleetStaysWithinRatioAndSlack) {
  gateway::FakeClock clock;
  constexpr uint32_t kGateways = 8;
  RetryBudgetOptions options;
  options.ratio = 0.2;
  options.slack = 56;
  options.live_gateways = [] { return kGateways; };
  size_t requests = 0;
  size_t retries = 0;
  for (uint32_t gateway = 0; gateway < kGateways; ++gateway) {
    RetryBudget budget(&clock, options);
    for (int i = 0; i < 50; ++i) {
      budget.CountRequest("s");
      ++requests;
      while (budget.TryRetry("s")) ++retries;
    }
  }
  EXPECT_GT(retries, 0U);
  EXPECT_LE(static_cast<double>(retries), 0.2 * static_cast<double>(requests) + 56);
}

TEST(RetryBudgetTest, OlderRetriesExpire) {
  gateway::FakeClock clock;
  RetryBudgetOptions options;
  options.slack = 10;
  RetryBudget budget(&clock, options);
  while (budget.TryRetry("s")) {
  }
  clock.now += std::chrono::seconds(11);
  EXPECT_TRUE(budget.TryRetry("s"));
}

}  // namespace
}  // namespace posthatch::routing
