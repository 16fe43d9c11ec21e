#include "posthatch/fleettest/report.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <boost/json.hpp>

#include "posthatch/fleettest/checks/history_builder.h"

namespace posthatch::fleettest {
namespace {

CheckResult ResultOf(const std::string& id, int examined, int violations) {
  CheckResult result(id, "title");
  for (int number = 0; number < examined; ++number) result.Examine();
  for (int number = 0; number < violations; ++number) {
    result.Violate("example " + std::to_string(number));
  }
  return result;
}

TEST(Report, PassNeedsCasesAndNoViolation) {
  ScenarioReport report;
  EXPECT_FALSE(Passed(report)) << "no checks at all";
  report.checks.push_back(ResultOf("N1", 3, 0));
  EXPECT_TRUE(Passed(report));
  report.checks.push_back(ResultOf("N2", 0, 0));
  EXPECT_FALSE(Passed(report));
  report.not_examined.push_back({"N2", "no refusals"});
  EXPECT_TRUE(Passed(report));
  report.checks.push_back(ResultOf("N3", 9, 7));
  EXPECT_FALSE(Passed(report));
  EXPECT_THAT(SummaryTable(report), ::testing::HasSubstr("because no refusals"));
}

TEST(Report, NotExaminedDoesNotHideViolations) {
  ScenarioReport report;
  report.not_examined.push_back({"N1", "none expected"});
  report.checks.push_back(ResultOf("N1", 1, 1));
  EXPECT_FALSE(Passed(report));
}

TEST(Report, FailureAndNondeterminismFailRun) {
  ScenarioReport report;
  report.checks.push_back(ResultOf("N1", 1, 0));
  report.deterministic = false;
  EXPECT_FALSE(Passed(report));
  report.deterministic = true;
  report.failure = "gateway-1 ended by itself";
  EXPECT_FALSE(Passed(report));
}

TEST(Report, JsonHasDocumentedKeys) {
  ScenarioReport report;
  report.scenario = "example";
  report.mode = "simulate";
  report.seed = 4;
  report.checks.push_back(ResultOf("N1", 9, 7));
  const boost::json::object object = boost::json::parse(ReportJson(report)).as_object();
  for (const char* key : {"scenario", "seed", "requests", "invariants", "latency_ms",
                          "first_token_ms", "prefix_hit_ratio", "retry_ratio", "config_in_force_ms",
                          "revision_in_force_ms", "trace_hash", "behaviour_hash"}) {
    EXPECT_TRUE(object.contains(key)) << key;
  }
  const boost::json::object& invariant = object.at("invariants").as_array()[0].as_object();
  EXPECT_EQ(invariant.at("violations").to_number<int>(), 7);
  EXPECT_EQ(invariant.at("examples").as_array().size(), 5u);
}

TEST(Statistics, ComputesCountsAndLatencies) {
  HistoryBuilder builder;
  for (int call = 0; call < 100; ++call) {
    const std::string nonce = "n" + std::to_string(call);
    builder.Call(call, nonce, "alpha", "", "alpha/1", "g", call + (call + 1) * 0.001);
    RunStarted* run = builder.Run(call + 0.0005, nonce);
    run->set_prompt_blocks(10);
    run->add_reused()->set_blocks(call < 50 ? 8 : 0);
  }
  builder.Run(200, "n1")->set_attempt_number(2);
  builder.Rejected(201, "r", 503, "no");
  builder.Call(202, "cut")->set_complete(false);
  builder.LastSent()->set_probe(false);
  const Statistics statistics = ComputeStatistics(RecordedHistory(builder.Events()));
  EXPECT_EQ(statistics.requests.sent, 102u);
  EXPECT_EQ(statistics.requests.completed, 100u);
  EXPECT_EQ(statistics.requests.refused, 1u);
  EXPECT_EQ(statistics.requests.unknown, 1u);
  EXPECT_NEAR(statistics.latency_ms.p50, 50, 0.01);
  EXPECT_NEAR(statistics.latency_ms.p99, 99, 0.01);
  EXPECT_DOUBLE_EQ(statistics.prefix_hit_ratio, 0.4);
  EXPECT_DOUBLE_EQ(statistics.retry_ratio, 0.01);
}

TEST(Statistics, MeasuresAcceptanceOfRevokedKey) {
  HistoryBuilder builder;
  builder.Change(9, "r", "configuration", "revoke=alpha/1");
  builder.Acknowledge(10, "r", 4);
  builder.Call(11.5, "a");
  builder.Rejected(11.6, "b", 401, "no");
  const Statistics statistics = ComputeStatistics(RecordedHistory(builder.Events()));
  EXPECT_NEAR(statistics.config_in_force_ms.p99, 1500, 0.1);
}

}  // namespace
}  // namespace posthatch::fleettest
