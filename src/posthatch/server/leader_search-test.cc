#include <set>
#include <string>

#include "absl/strings/str_cat.h"
#include "posthatch/server/platform_fleet-test.h"

// How gateways find the leading controller after controllers have been killed again and again. The
// day review/4/day.toml of the bench has the same order of events.
namespace posthatch::server {
namespace {

using simulation::SimHost;

// A change is in force at every gateway this long after its acknowledgement, at the latest.
constexpr runtime::Duration kInForceBound = seconds(2);
// From a cut on, the controllers count as stable after this time.
constexpr runtime::Duration kSettleTime = milliseconds(3400);
constexpr uint64_t kSeeds = 6;
constexpr int kKillsOfEach = 6;

PlatformFleetPlan Plan() {
  PlatformFleetPlan plan;
  plan.controllers = 3;
  plan.gateways = 4;
  plan.zones = 3;
  plan.workers = 3;
  return plan;
}

class LeaderSearchTest : public testing::TestWithParam<uint64_t> {
 protected:
  LeaderSearchTest() : fleet_(GetParam(), Plan()) {
    fleet_.SendConfiguration(1);
    fleet_.world.RunUntil([this] { return fleet_.acknowledged.contains(1); }, seconds(10));
    fleet_.RunAndRecordLag(seconds(3));
  }

  SimHost* controller(int number) { return fleet_.controller_hosts[number]; }

  // Kills the controllers 0 and 1 in turn, one at a time.
  void KillTwoControllersInTurn() {
    for (int kill = 0; kill < 2 * kKillsOfEach; ++kill) {
      controller(kill % 2)->Crash();
      fleet_.world.RunFor(milliseconds(500));
      controller(kill % 2)->Start();
      fleet_.world.RunFor(milliseconds(4600));
    }
  }

  // Cuts controller 2 off from the others, but not from the gateways, and changes the configuration
  // once the others count as stable.
  void CutThirdControllerOffAndChange() {
    fleet_.PartitionControllers({controller(2)});
    fleet_.world.RunFor(kSettleTime);
    fleet_.SendConfiguration(2);
    fleet_.RunAndRecordLag(seconds(5));
  }

  void ExpectInForceInTime() {
    ASSERT_TRUE(fleet_.acknowledged.contains(2));
    EXPECT_LE(fleet_.longest_lag, kInForceBound) << fleet_.slowest_gateway;
    for (const SimHost* host : fleet_.gateway_hosts) {
      EXPECT_EQ(fleet_.VersionAt(host), 2U) << host->name();
    }
  }

  PlatformFleet fleet_;
};

INSTANTIATE_TEST_SUITE_P(Seeds, LeaderSearchTest, testing::Range<uint64_t>(1, kSeeds + 1));

// Guards against gateways that look for the leader only among the live members: controllers that
// run, but whose flapping is damped, are not among these, and the one that is leads nobody.
TEST_P(LeaderSearchTest, LeaderIsFoundWhileItsFlappingIsDamped) {
  KillTwoControllersInTurn();
  CutThirdControllerOffAndChange();
  ExpectInForceInTime();
}

// The control: neither the kills nor the cut alone delay a change.
TEST_P(LeaderSearchTest, LeaderIsFoundAfterACutAlone) {
  CutThirdControllerOffAndChange();
  ExpectInForceInTime();
}

TEST_P(LeaderSearchTest, LeaderIsFoundAfterKillsAlone) {
  KillTwoControllersInTurn();
  fleet_.world.RunFor(kSettleTime);
  fleet_.SendConfiguration(2);
  fleet_.RunAndRecordLag(seconds(5));
  ExpectInForceInTime();
}

}  // namespace
}  // namespace posthatch::server
