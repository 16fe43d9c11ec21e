#include "posthatch/server/platform_fleet-test.h"

namespace posthatch::server {
namespace {

// Maximum time from the acknowledgement of a change until it is in force at every gateway.
constexpr runtime::Duration kInForceBound = seconds(3);

// POSTHATCH_GATEWAYS overrides CI's fleet size.
PlatformFleetPlan Plan() {
  PlatformFleetPlan plan;
  if (const char* gateways = std::getenv("POSTHATCH_GATEWAYS")) plan.gateways = std::atoi(gateways);
  return plan;
}

class PlatformFleetTest : public testing::TestWithParam<uint64_t> {
 protected:
  PlatformFleetTest() : fleet_(GetParam(), Plan()) {
    fleet_.SendConfiguration(1);
    fleet_.world.RunUntil([this] { return fleet_.acknowledged.contains(1); }, seconds(10));
    fleet_.RunAndRecordLag(seconds(3));
    EXPECT_EQ(fleet_.acknowledged.size(), 1U);
    for (const simulation::SimHost* host : fleet_.gateway_hosts) {
      EXPECT_EQ(fleet_.VersionAt(host), 1U) << host->name();
    }
  }
  // Sends configurations `first` to `last`, one per `gap` or after the previous acknowledgement.
  void ChangeRepeatedly(uint64_t first, uint64_t last, runtime::Duration gap) {
    for (uint64_t version = first; version <= last; ++version) {
      fleet_.SendConfiguration(version);
      fleet_.RunAndRecordLag(gap);
      fleet_.world.RunUntil([this, version] { return fleet_.acknowledged.contains(version); },
                            seconds(8));
    }
  }
  void ExpectAllInForce(uint64_t version) {
    EXPECT_TRUE(fleet_.acknowledged.contains(version));
    EXPECT_LE(fleet_.longest_lag, kInForceBound) << fleet_.slowest_gateway;
    for (const simulation::SimHost* host : fleet_.gateway_hosts) {
      if (!host->running()) continue;
      EXPECT_EQ(fleet_.VersionAt(host), version) << host->name();
    }
  }

  PlatformFleet fleet_;
};

INSTANTIATE_TEST_SUITE_P(Seeds, PlatformFleetTest, testing::Range<uint64_t>(1, 4));

TEST_P(PlatformFleetTest, ChangesComeIntoForceDuringRollout) {
  fleet_.SetRevision(2);
  ChangeRepeatedly(2, 9, milliseconds(400));
  fleet_.RunAndRecordLag(seconds(4));
  ExpectAllInForce(9);
}

TEST_P(PlatformFleetTest, ChangesComeIntoForceAfterLeaderKillAndPartition) {
  fleet_.SetRevision(2);
  ChangeRepeatedly(2, 3, milliseconds(300));
  simulation::SimHost* leader = fleet_.Leader();
  ASSERT_NE(leader, nullptr);
  leader->Crash();
  ChangeRepeatedly(4, 5, milliseconds(600));
  leader->Start();
  const simulation::SimHost* next_leader = fleet_.Leader();
  ASSERT_NE(next_leader, nullptr);
  std::set<const simulation::SimHost*> minority = {next_leader};
  for (const simulation::SimHost* host : fleet_.controller_hosts) {
    if (minority.size() < 4) minority.insert(host);
  }
  fleet_.PartitionControllers(minority);
  ChangeRepeatedly(6, 8, milliseconds(900));
  fleet_.world.HealAll();
  ChangeRepeatedly(9, 11, milliseconds(900));
  fleet_.RunAndRecordLag(seconds(5));
  ExpectAllInForce(11);
}

TEST_P(PlatformFleetTest, FewGatewaysReadInventoryWhileControllersArePartitioned) {
  for (const simulation::SimHost* controller : fleet_.controller_hosts) {
    fleet_.world.Partition(controller->name(), "list");
  }
  const uint64_t before = fleet_.inventory_reads;
  fleet_.RunAndRecordLag(seconds(10));
  // One gateway in each of the six zones reads once per second; reads by all would be thousands.
  EXPECT_GE(fleet_.inventory_reads - before, 30U);
  EXPECT_LE(fleet_.inventory_reads - before, 90U);
}

}  // namespace
}  // namespace posthatch::server
