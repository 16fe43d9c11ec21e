#include <gtest/gtest.h>

#include "posthatch/gateway/gateway_fakes-test.h"
#include "posthatch/routing/retry_budget.h"
#include "posthatch/routing/route_table.h"
#include "posthatch/routing/sse_framer.h"

namespace posthatch::routing {
namespace {

control::TrafficRoute* AddRoute(control::TrafficConfiguration* configuration,
                                const std::string& host, const std::string& prefix) {
  control::TrafficRoute* route = configuration->add_routes();
  route->set_name(host + prefix);
  route->set_host(host);
  route->set_path_prefix(prefix);
  return route;
}

TEST(RouteTableTest, LongestPrefixOfTheHostWins) {
  control::TrafficConfiguration configuration;
  AddRoute(&configuration, "a.example", "/");
  AddRoute(&configuration, "a.example", "/x/");
  AddRoute(&configuration, "a.example", "/x/y/");
  AddRoute(&configuration, "b.example", "/x/");
  RouteTable table;
  table.Rebuild(configuration);
  EXPECT_EQ(table.Find("a.example", "/x/y/z?q=/")->path_prefix(), "/x/y/");
  EXPECT_EQ(table.Find("A.Example:8080", "/x/z")->path_prefix(), "/x/");
  EXPECT_EQ(table.Find("a.example", "/x")->path_prefix(), "/");
  EXPECT_EQ(table.Find("b.example", "/y/"), nullptr);
  EXPECT_EQ(table.Find("c.example", "/x/"), nullptr);
  EXPECT_EQ(table.Find("b.example", "/?p=/x/"), nullptr);
}

TEST(SseFramerTest, AnyCutOfTheBytesGivesTheSameEvents) {
  const std::string stream =
      "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: note\n\nid: 3\ndata: c\n\n";
  for (size_t cut = 0; cut <= stream.size(); ++cut) {
    SseFramer splitter;
    std::string out = splitter.Feed(stream.substr(0, cut));
    out += splitter.Feed(stream.substr(cut));
    EXPECT_EQ(out, stream) << cut;
    EXPECT_TRUE(splitter.at_event_boundary());
    EXPECT_EQ(splitter.last_event_id(), "3");
  }
}

TEST(SseFramerTest, EventsThatTheCallerHasAreLeftOutAfterAResume) {
  SseFramer splitter;
  splitter.SetLastEventId("7");
  EXPECT_EQ(splitter.Feed("id: 6\n\nid: 7\n\nid: 8\n\n"), "id: 8\n\n");
}

TEST(SseFramerTest, BrokenEventIsForgottenWhenAnotherWorkerGoesOn) {
  SseFramer splitter;
  EXPECT_EQ(splitter.Feed("id: 1\n\nid: 2\nda"), "id: 1\n\n");
  EXPECT_FALSE(splitter.at_event_boundary());
  splitter.DiscardPartial();
  EXPECT_EQ(splitter.Feed("id: 2\ndata: x\n\n"), "id: 2\ndata: x\n\n");
}

TEST(RetryBudgetTest, AllGatewaysTogetherStayWithinRatioAndSlack) {
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

TEST(RetryBudgetTest, RetriesOfTheWindowBeforeAreForgotten) {
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
