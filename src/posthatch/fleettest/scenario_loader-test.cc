#include "posthatch/fleettest/scenario_loader.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <filesystem>

namespace posthatch::fleettest {
namespace {

using ::testing::ElementsAre;
using ::testing::HasSubstr;
using ::testing::IsEmpty;

TEST(ScenarioLoader, ReadsCompleteScenario) {
  const LoadedScenario loaded = ParseScenario(R"(
name = "example"
duration_s = 30
seed = 7
[fleet]
controllers = 5
zones = 4
[traffic]
preset = "kovinar"
requests_per_second = 12.5
[[fault]]
at_s = 20
kind = "cut"
one_way = true
duration_s = 4
target = { zone = "z2" }
peer = { role = "controller" }
[[fault]]
at_s = 5.5
kind = "answers"
mode = "crossed"
probability = 0.25
target = { role = "worker", name = "random", count = 2 }
[[operation]]
at_s = 3
kind = "model_revision"
[chaos]
kinds = ["kill", "freeze"]
[[not_examined]]
check = "N10"
reason = "nothing freezes"
)",
                                              "example.toml");
  ASSERT_THAT(loaded.errors, IsEmpty());
  const Scenario& scenario = loaded.scenario;
  EXPECT_EQ(scenario.fleet.controllers, 5u);
  EXPECT_EQ(scenario.traffic.requests_per_second, 12.5);
  ASSERT_EQ(scenario.faults.size(), 2u);
  EXPECT_EQ(scenario.faults[0].kind, FaultKind::kResponses);
  EXPECT_EQ(scenario.faults[0].at, std::chrono::milliseconds(5500));
  EXPECT_EQ(scenario.faults[0].target.count, 2u);
  EXPECT_EQ(scenario.faults[1].kind, FaultKind::kPartition);
  EXPECT_TRUE(scenario.faults[1].one_way);
  EXPECT_EQ(scenario.faults[1].peer.role, Role::kController);
  ASSERT_EQ(scenario.operations.size(), 1u);
  ASSERT_TRUE(scenario.chaos.has_value());
  EXPECT_THAT(scenario.chaos->kinds, ElementsAre(FaultKind::kKill, FaultKind::kFreeze));
}

TEST(ScenarioLoader, ReportsEveryErrorWithPositionAndAllowedValues) {
  const LoadedScenario loaded = ParseScenario(R"(duration_s = 30
[fleet]
controllers = 90
gateways = "three"
runners = 5
[traffic]
preset = "fast"
[[fault]]
kind = "explode"
target = { zone = "z9" }
[[fault]]
at_s = 31
kind = "slow_disk"
target = { role = "controller", name = "random", lable = "a=b" }
)",
                                              "bad.toml");
  EXPECT_THAT(loaded.errors,
              ::testing::UnorderedElementsAre(
                  HasSubstr("bad.toml:1: name: is missing"),
                  HasSubstr("bad.toml:3: fleet.controllers: 90 is out of range (allowed: 1 to 7)"),
                  HasSubstr("bad.toml:4: fleet.gateways: wrong type (allowed: integer)"),
                  HasSubstr("bad.toml:5: fleet.runners: unknown key (allowed: controllers"),
                  HasSubstr("bad.toml:7: traffic.preset: unknown \"fast\" (allowed: mixed, "),
                  HasSubstr("bad.toml:9: fault[0].kind: unknown \"explode\" (allowed: kill, "),
                  HasSubstr("fault[0].at_s: is missing"),
                  HasSubstr("bad.toml:10: fault[0].target: no such zone \"z9\""),
                  HasSubstr("bad.toml:12: fault[1].at_s: 31 is out of range"),
                  HasSubstr("fault[1].delay_ms: is missing"),
                  HasSubstr("bad.toml:14: fault[1].target.lable: unknown key")));
}

TEST(ScenarioLoader, RepositoryScenariosAreValid) {
  size_t count = 0;
  for (const auto& entry : std::filesystem::directory_iterator(POSTHATCH_SCENARIO_FOLDER)) {
    const LoadedScenario loaded = LoadScenarioFile(entry.path().string());
    EXPECT_THAT(loaded.errors, IsEmpty());
    EXPECT_EQ(loaded.scenario.name + ".toml", entry.path().filename().string());
    ++count;
  }
  EXPECT_GE(count, 30u);
}

TEST(ScenarioLoader, ReportsLineOfSyntaxError) {
  const LoadedScenario loaded = ParseScenario("name = \"x\"\nseed = = 3\n", "broken.toml");
  EXPECT_THAT(loaded.errors, ElementsAre(HasSubstr("broken.toml:2: not TOML")));
}

TEST(ScenarioLoader, RejectsParametersOfOtherKinds) {
  const LoadedScenario loaded = ParseScenario(R"(name = "x"
[[fault]]
at_s = 1
kind = "kill"
mode = "late"
target = { role = "worker", name = "random" }
)",
                                              "x.toml");
  EXPECT_THAT(loaded.errors, ElementsAre(HasSubstr("x.toml:5: fault[0].mode: unknown key")));
}

}  // namespace
}  // namespace posthatch::fleettest
