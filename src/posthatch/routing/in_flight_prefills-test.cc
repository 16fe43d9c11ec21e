#include "posthatch/routing/in_flight_prefills.h"

#include "posthatch/routing/traffic_fixture-test.h"

namespace posthatch::routing {
namespace {

class InFlightPrefillsTest : public testing::Test {
 protected:
  void Start(const std::string& worker, uint64_t affinity = 7, uint64_t revision = 1) {
    prompts_.Add({affinity, revision, worker, milliseconds(300)});
  }
  std::vector<std::string> Places(uint64_t affinity = 7, uint64_t revision = 1) const {
    std::vector<std::string> names;
    for (const auto& location : prompts_.Find(affinity, revision)) {
      names.push_back(location.worker_id + (location.ready ? " ready" : ""));
    }
    return names;
  }

  gateway::FakeClock clock_;
  InFlightPrefills prompts_{&clock_, {.entry_ttl = seconds(5), .max_starts = 6}};
};

using Names = std::vector<std::string>;

TEST_F(InFlightPrefillsTest, NewestFirstAndReadyOncePrefilled) {
  Start("w1");
  clock_.now += milliseconds(200);
  Start("w2");
  EXPECT_EQ(Places(), (Names{"w2", "w1"}));
  clock_.now += milliseconds(150);
  EXPECT_EQ(Places(), (Names{"w2", "w1 ready"}));
}

TEST_F(InFlightPrefillsTest, RevisionsAndPromptsAreSeparate) {
  Start("w1");
  EXPECT_EQ(Places(7, 2), Names());
  EXPECT_EQ(Places(8, 1), Names());
}

TEST_F(InFlightPrefillsTest, RepeatedStartKeepsReadyTime) {
  Start("w1");
  clock_.now += milliseconds(290);
  Start("w1");
  clock_.now += milliseconds(20);
  EXPECT_EQ(Places(), (Names{"w1 ready"}));
}

TEST_F(InFlightPrefillsTest, EntriesExpire) {
  Start("w1");
  clock_.now += seconds(6);
  EXPECT_EQ(Places(), Names());
  Start("w2", 9);
  EXPECT_EQ(prompts_.size(), 1U);
}

TEST_F(InFlightPrefillsTest, TableIsBounded) {
  for (uint64_t affinity = 0; affinity < 20; ++affinity) Start("w1", affinity);
  EXPECT_EQ(prompts_.size(), 6U);
}

TEST_F(InFlightPrefillsTest, LocationsPerPrefixAreBounded) {
  for (const char* worker : {"w1", "w2", "w3", "w4", "w5"}) Start(worker);
  EXPECT_EQ(Places(), (Names{"w5", "w4", "w3", "w2"}));
}

}  // namespace
}  // namespace posthatch::routing
