#include "posthatch/routing/weighted_split.h"

#include <gtest/gtest.h>

#include <cmath>
#include <map>

namespace posthatch::routing {
namespace {

control::TrafficRoute Route(const std::string& name, const std::vector<uint32_t>& weights) {
  control::TrafficRoute route;
  route.set_name(name);
  for (size_t i = 0; i < weights.size(); ++i) {
    control::RouteTarget* target = route.add_targets();
    target->set_service("s" + std::to_string(i));
    target->set_weight(weights[i]);
  }
  return route;
}

TEST(WeightedSplitTest, OneGatewayIsExactToTwoRequests) {
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    runtime::Random random(seed);
    WeightedSplit split(&random);
    const control::TrafficRoute route = Route("r", {90, 10});
    std::map<std::string, int> request_counts;
    for (int i = 0; i < 100; ++i) ++request_counts[split.Next(route)->service()];
    EXPECT_NEAR(request_counts["s1"], 10, 2) << "seed " << seed;
  }
}

TEST(WeightedSplitTest, ManyGatewaysWithFewRequestsEach) {
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    std::map<std::string, int> request_counts;
    for (uint64_t gateway = 0; gateway < 60; ++gateway) {
      runtime::Random random(seed * 1000 + gateway);
      WeightedSplit split(&random);
      const control::TrafficRoute route = Route("r", {70, 30});
      for (int i = 0; i < 5; ++i) ++request_counts[split.Next(route)->service()];
    }
    EXPECT_NEAR(request_counts["s1"], 90, 15) << "seed " << seed;
  }
}

TEST(WeightedSplitTest, ZeroWeightGetsNothing) {
  runtime::Random random(3);
  WeightedSplit split(&random);
  const control::TrafficRoute route = Route("r", {0, 5, 0});
  for (int i = 0; i < 50; ++i) EXPECT_EQ(split.Next(route)->service(), "s1");
  EXPECT_EQ(split.Next(Route("none", {0, 0})), nullptr);
  EXPECT_EQ(split.Next(Route("one", {0})), nullptr);
}

TEST(WeightedSplitTest, RoutesAreIndependent) {
  runtime::Random random(5);
  WeightedSplit split(&random);
  const control::TrafficRoute one = Route("one", {50, 50});
  const control::TrafficRoute other = Route("other", {50, 50});
  std::map<std::string, int> request_counts;
  for (int i = 0; i < 200; ++i) {
    ++request_counts[split.Next(one)->service()];
    split.Next(other);
  }
  EXPECT_NEAR(request_counts["s0"], 100, 3);
}

}  // namespace
}  // namespace posthatch::routing
