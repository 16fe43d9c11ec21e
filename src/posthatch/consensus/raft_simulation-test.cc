// Whole replicas over the simulator, by seed, under a mix of faults. POSTHATCH_SEEDS sets how many
// seeds are run (default 30), POSTHATCH_FIRST_SEED the first.
#include <gtest/gtest.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_join.h"
#include "posthatch/consensus/raft_world-test.h"

namespace posthatch::consensus {
namespace {

using std::chrono::seconds;

uint64_t EnvironmentNumber(const char* name, uint64_t otherwise) {
  const char* text = std::getenv(name);
  uint64_t number = 0;
  return text != nullptr && absl::SimpleAtoi(text, &number) ? number : otherwise;
}

class RaftSimulationTest : public testing::TestWithParam<size_t> {};

TEST_P(RaftSimulationTest, KeepsItsPromisesUnderMixedFaults) {
  const uint64_t first = EnvironmentNumber("POSTHATCH_FIRST_SEED", 1);
  const uint64_t seeds = EnvironmentNumber("POSTHATCH_SEEDS", 30);
  size_t acknowledged = 0;
  size_t reads = 0;
  size_t leaders = 0;
  size_t lost_disks = 0;
  for (uint64_t seed = first; seed < first + seeds; ++seed) {
    RaftWorld cluster(seed, GetParam());
    ASSERT_TRUE(cluster.RunUntilLeader()) << "seed " << seed;
    cluster.RunClients();
    FaultMix faults(&cluster);
    faults.Run(seconds(40));
    const std::string trouble = cluster.Settle();
    ASSERT_EQ(trouble, "") << "seed " << seed << "\n"
                           << absl::StrJoin(cluster.world().RecentTrace(), "\n");
    const std::vector<std::string> violations = cluster.history().Check(cluster.Length(0));
    ASSERT_TRUE(violations.empty()) << "seed " << seed << ": " << absl::StrJoin(violations, "; ");
    acknowledged += cluster.history().acknowledged();
    reads += cluster.history().reads();
    leaders += cluster.history().leaders();
    lost_disks += faults.lost_disks();
  }
  // A run that saw nothing has proved nothing.
  EXPECT_GT(acknowledged, seeds * 50);
  EXPECT_GT(reads, seeds * 20);
  EXPECT_GT(leaders, seeds * 2);
  EXPECT_GT(lost_disks, seeds / 10);
  std::cout << seeds << " seeds, " << GetParam() << " replicas: " << acknowledged
            << " acknowledged commands, " << reads << " reads, " << leaders << " leaderships, "
            << lost_disks << " lost disks\n";
}

INSTANTIATE_TEST_SUITE_P(Sizes, RaftSimulationTest, testing::Values(3, 5));

}  // namespace
}  // namespace posthatch::consensus
