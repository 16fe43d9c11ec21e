#include "posthatch/routing/in_flight_prefills.h"

#include "posthatch/routing/traffic_fixture-test.h"

namespace posthatch::routing {
namespace {

class InFlightPrefillsTest : public testing::Test {
 protected:
  void Start(const std::string& worker, uint64_t affinity = 7, uint64_t revision = 1) {
    prefills_.Add({affinity, revision, worker, milliseconds(300)});
  }
  std::vector<std::string> Locations(uint64_t affinity = 7, uint64_t revision = 1) const {
    std::vector<std::string> locations;
    for (const auto& location : prefills_.Find(affinity, revision)) {
      locations.push_back(location.worker_id + (location.ready ? " ready" : ""));
    }
    return locations;
  }

  gateway::FakeClock clock_;
  InFlightPrefills prefills_{&clock_, {.entry_ttl = seconds(5), .max_starts = 6}};
};

using LocationList = std::vector<std::string>;

TEST_F(InFlightPrefillsTest, NewestFirstAndReadyOncePrefilled) {
  Start("w1");
  clock_.now += milliseconds(200);
  Start("w2");
  EXPECT_EQ(Locations(), (LocationList{"w2", "w1"}));
  clock_.now += milliseconds(150);
  EXPECT_EQ(Locations(), (LocationList{"w2", "w1 ready"}));
}

TEST_F(InFlightPrefillsTest, RevisionsAndPromptsAreSeparate) {
  Start("w1");
  EXPECT_EQ(Locations(7, 2), LocationList());
  EXPECT_EQ(Locations(8, 1), LocationList());
}

TEST_F(InFlightPrefillsTest, RepeatedStartKeepsReadyTime) {
  Start("w1");
  clock_.now += milliseconds(290);
  Start("w1");
  clock_.now += milliseconds(20);
  EXPECT_EQ(Locations(), (LocationList{"w1 ready"}));
}

TEST_F(InFlightPrefillsTest, EntriesExpire) {
  Start("w1");
  clock_.now += seconds(6);
  EXPECT_EQ(Locations(), LocationList());
  Start("w2", 9);
  EXPECT_EQ(prefills_.size(), 1U);
}

TEST_F(InFlightPrefillsTest, TableIsBounded) {
  for (uint64_t affinity = 0; affinity < 20; ++affinity) Start("w1", affinity);
  EXPECT_EQ(prefills_.size(), 6U);
}

TEST_F(InFlightPrefillsTest, LocationsPerPrefixAreBounded) {
  for (const char* worker : {"w1", "w2", "w3", "w4", "w5"}) Start(worker);
  EXPECT_EQ(Locations(), (LocationList{"w5", "w4", "w3", "w2"}));
}

}  // namespace
}  // namespace posthatch::routing
