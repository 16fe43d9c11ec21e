// Runs complete fleets in the simulator through short scenarios.
#include <gtest/gtest.h>

#include <set>

#include "posthatch/fleettest/scenario_loader.h"
#include "posthatch/fleettest/seed_runner.h"
#include "posthatch/fleettest/simulated_node_factory.h"

namespace posthatch::fleettest {
namespace {

Scenario ShortScenario(const std::string& timeline) {
  const LoadedScenario loaded = ParseScenario(
      "name = \"short\"\nduration_s = 12\n[fleet]\nworkers = 3\n[traffic]\nrequests_per_second = "
      "10\n" +
          timeline,
      "short.toml");
  EXPECT_TRUE(loaded.ok()) << loaded.errors.front();
  return loaded.scenario;
}

ScenarioReport Simulate(const Scenario& scenario, uint64_t seed) {
  SimulatedNodeFactory factory;
  return SimulateSeed(scenario, seed, &factory, {});
}

uint64_t ExaminedBy(const ScenarioReport& report, const std::string& id) {
  for (const CheckResult& check : report.checks) {
    if (check.id() == id) return check.examined();
  }
  return 0;
}

TEST(SimulatedRunTest, FleetWithoutFaultsPasses) {
  const ScenarioReport report =
      Simulate(ShortScenario("[[operation]]\nat_s = 1\nkind = \"key_rotation\"\n"), 1);
  EXPECT_EQ(report.failure, "");
  EXPECT_GT(report.statistics.requests.completed, 60u);
  EXPECT_GT(report.statistics.prefix_hit_ratio, 0.1);
  for (const CheckResult& check : report.checks) {
    EXPECT_EQ(check.violations(), 0u) << check.id() << ": " << check.examples().front();
  }
  for (const char* id : {"N1", "N2", "N3", "N4", "N5", "N6", "N8", "N9"}) {
    EXPECT_GT(ExaminedBy(report, id), 0u) << id;
  }
}

TEST(SimulatedRunTest, EqualSeedsGiveEqualTraces) {
  const Scenario scenario = ShortScenario(
      "[chaos]\nkinds = [\"kill\", \"freeze\", \"cut\", \"power_loss\", \"answers\"]\nfrom_s = "
      "2\nevery_s = 2\n");
  const ScenarioReport first = Simulate(scenario, 5);
  const ScenarioReport second = Simulate(scenario, 5);
  EXPECT_NE(first.trace_hash, 0u);
  EXPECT_EQ(first.trace_hash, second.trace_hash);
  EXPECT_EQ(first.statistics.requests.completed, second.statistics.requests.completed);
  EXPECT_NE(first.trace_hash, Simulate(scenario, 6).trace_hash);
}

TEST(SimulatedRunTest, EveryFaultIsReported) {
  const ScenarioReport report = Simulate(ShortScenario(R"(
[[fault]]
at_s = 2
kind = "kill"
duration_s = 1
target = { role = "gateway", name = "random" }
[[fault]]
at_s = 3
kind = "move_seed"
target = { name = "controller-1" }
[[fault]]
at_s = 4
kind = "replace"
target = { name = "worker-1" }
)"),
                                         1);
  ASSERT_EQ(report.failure, "");
  ASSERT_EQ(report.faults.size(), 3u);
  EXPECT_EQ(report.faults[0].result, "injected");
  EXPECT_EQ(report.faults[2].result, "injected");
  EXPECT_EQ(report.faults[1].result.rfind("not applicable", 0), 0u) << report.faults[1].result;
}

TEST(SimulatedRunTest, SeedsRunInParallelAndReportInOrder) {
  SimulatedNodeFactory factory;
  SeedRunOptions options;
  options.first_seed = 3;
  options.last_seed = 6;
  options.threads = 2;
  Scenario scenario = ShortScenario("");
  scenario.duration = std::chrono::seconds(2);
  const std::vector<ScenarioReport> reports = SimulateSeeds(scenario, options, &factory);
  ASSERT_EQ(reports.size(), 4u);
  std::set<uint64_t> hashes;
  for (size_t index = 0; index < reports.size(); ++index) {
    EXPECT_EQ(reports[index].seed, 3 + index);
    hashes.insert(reports[index].trace_hash);
  }
  EXPECT_EQ(hashes.size(), 4u);
}

}  // namespace
}  // namespace posthatch::fleettest
