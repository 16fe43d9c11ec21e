#include <algorithm>
#include <ostream>
#include <vector>

#include "posthatch/server/allocation_processor-test.h"
#include "posthatch/server/platform_fleet-test.h"

// What a new leader has to do for its gateways while their configuration is large, on controllers
// whose processors are slow.
namespace posthatch::server {
namespace {

using simulation::SimHost;

// After the leader was killed, the gateways have this long to find the next one and get what it
// has.
constexpr runtime::Duration kSettleTime = seconds(4);
constexpr uint64_t kNewRoute = 2;
constexpr int kOtherRoutes = 1400;
constexpr uint64_t kSeeds = 3;

struct Load {
  uint64_t seed;
  // Part of a core that a controller may use, of the core that AllocationProcessor describes.
  double controller_share;
};

void PrintTo(const Load& load, std::ostream* out) {
  *out << "seed " << load.seed << ", share " << load.controller_share;
}

std::vector<Load> Loads() {
  std::vector<Load> loads;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    for (const double share : {0.15, 0.08}) loads.push_back({seed, share});
  }
  return loads;
}

class NewLeaderLoadTest : public testing::TestWithParam<Load> {
 protected:
  NewLeaderLoadTest()
      : controller_processor_(GetParam().controller_share),
        // Gateways of this size have four fifths of a controller's processor.
        gateway_processor_(GetParam().controller_share * 0.8),
        fleet_(GetParam().seed, Plan()) {
    fleet_.SendConfiguration(1);
    fleet_.world.RunUntil([this] { return fleet_.acknowledged.contains(1); }, seconds(30));
    fleet_.world.RunFor(seconds(15));
  }

  PlatformFleetPlan Plan() {
    PlatformFleetPlan plan;
    plan.controllers = 9;
    plan.gateways = 291;
    plan.zones = 6;
    plan.workers = 10;
    plan.other_routes = kOtherRoutes;
    plan.controller_processor = &controller_processor_;
    plan.gateway_processor = &gateway_processor_;
    return plan;
  }

  // Runs until `end` and counts the changes of the leader.
  void RunAndCountLeaders(runtime::MonotonicTime end) {
    while (fleet_.world.Now() < end) {
      fleet_.world.RunFor(milliseconds(20));
      const SimHost* leader = fleet_.Leader();
      if (leader == nullptr || leader == last_leader_) continue;
      last_leader_ = leader;
      ++leaders_;
    }
  }

  AllocationProcessor controller_processor_;
  AllocationProcessor gateway_processor_;
  PlatformFleet fleet_;
  const SimHost* last_leader_ = nullptr;
  int leaders_ = 0;
};

INSTANTIATE_TEST_SUITE_P(Seeds, NewLeaderLoadTest, testing::ValuesIn(Loads()));

// Guards against a leader that copies the whole configuration for each renewal of a gateway that
// lacks one route, sends no heartbeats meanwhile, and takes that for the loss of its majority: the
// next leader fares no better, and gateways serve by the old configuration for seconds.
TEST_P(NewLeaderLoadTest, GatewaysThatLackOneRouteGetItInTime) {
  SimHost* const old_leader = fleet_.Leader();
  ASSERT_NE(old_leader, nullptr);
  for (const SimHost* gateway : fleet_.gateway_hosts) {
    fleet_.world.Partition(old_leader->name(), gateway->name());
  }
  fleet_.SendRoute(kNewRoute);
  fleet_.world.RunUntil([this] { return fleet_.acknowledged.contains(kNewRoute); }, seconds(10));
  ASSERT_TRUE(fleet_.acknowledged.contains(kNewRoute));
  old_leader->Crash();
  RunAndCountLeaders(fleet_.world.Now() + kSettleTime);
  for (const SimHost* host : fleet_.gateway_hosts) {
    EXPECT_EQ(fleet_.VersionAt(host), kNewRoute) << host->name();
  }
  EXPECT_EQ(leaders_, 1);
}

}  // namespace
}  // namespace posthatch::server
