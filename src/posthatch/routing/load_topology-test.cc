#include "posthatch/routing/load_topology.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace posthatch::routing {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;
using testing::SizeIs;

// Gateways g100, g101, ... alternate between zones a and b; g100 is the first of zone a.
std::vector<LoadPeer> PeersOf(const std::string& self, int gateways) {
  std::vector<LoadPeer> peers;
  for (int i = 0; i < gateways; ++i) {
    const std::string id = "g" + std::to_string(100 + i);
    if (id != self) peers.push_back({id, i % 2 == 0 ? "a" : "b", id + ":1"});
  }
  return peers;
}

class LoadTopologyTest : public testing::Test {
 protected:
  LoadTopology Topology(const std::string& self, int gateways) const {
    return {&options_, self, PeersOf(self, gateways)};
  }

  LoadReporterOptions options_ = {.zone = "a"};
};

TEST_F(LoadTopologyTest, SmallFleetReportsToAll) {
  const LoadTopology topology = Topology("g102", 4);
  EXPECT_FALSE(topology.UsesAggregators());
  EXPECT_THAT(topology.ReportRecipients(), ElementsAre("g100:1", "g101:1", "g103:1"));
}

TEST_F(LoadTopologyTest, LargeFleetReportsWithinZone) {
  const LoadTopology topology = Topology("g102", 20);
  EXPECT_TRUE(topology.UsesAggregators());
  EXPECT_TRUE(topology.ZoneReportsDirectly());
  EXPECT_THAT(topology.ReportRecipients(), SizeIs(9));
  EXPECT_EQ(topology.ReportRecipients(), topology.ZoneMembers());
}

TEST_F(LoadTopologyTest, LargeZoneReportsToAggregatorOnly) {
  const LoadTopology topology = Topology("g102", 200);
  EXPECT_FALSE(topology.ZoneReportsDirectly());
  EXPECT_THAT(topology.ReportRecipients(), ElementsAre("g100:1"));
  EXPECT_THAT(Topology("g100", 200).ReportRecipients(), IsEmpty());
}

TEST_F(LoadTopologyTest, LowestIdOfZoneIsAggregator) {
  EXPECT_TRUE(Topology("g100", 20).IsAggregator());
  EXPECT_FALSE(Topology("g102", 20).IsAggregator());
  EXPECT_TRUE(Topology("g102", 0).IsAggregator()) << "alone in its zone";
  EXPECT_THAT(Topology("g100", 20).OtherAggregators(), ElementsAre("g101:1"));
}

}  // namespace
}  // namespace posthatch::routing
