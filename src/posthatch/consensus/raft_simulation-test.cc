// Runs complete replicas in the simulator under a mix of faults, once per seed. POSTHATCH_SEEDS
// sets the number of seeds (default 30), POSTHATCH_FIRST_SEED the first seed.
#include <gtest/gtest.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_join.h"
#include "posthatch/consensus/fault_mix-test.h"
#include "posthatch/consensus/raft_world-test.h"

namespace posthatch::consensus {
namespace {

using std::chrono::seconds;

uint64_t NumberFromEnvironment(const char* name, uint64_t default_value) {
  const char* text = std::getenv(name);
  uint64_t number = 0;
  return text != nullptr && absl::SimpleAtoi(text, &number) ? number : default_value;
}

class RaftSimulationTest : public testing::TestWithParam<size_t> {};

TEST_P(RaftSimulationTest, InvariantsHoldUnderMixedFaults) {
  const uint64_t first = NumberFromEnvironment("POSTHATCH_FIRST_SEED", 1);
  const uint64_t seeds = NumberFromEnvironment("POSTHATCH_SEEDS", 30);
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
    const std::string failure = cluster.HealAndConverge();
    ASSERT_EQ(failure, "") << "seed " << seed << "\n"
                           << absl::StrJoin(cluster.world().RecentTrace(), "\n");
    const std::vector<std::string> violations = cluster.history().Check(cluster.Length(0));
    ASSERT_TRUE(violations.empty()) << "seed " << seed << ": " << absl::StrJoin(violations, "; ");
    acknowledged += cluster.history().acknowledged();
    reads += cluster.history().reads();
    leaders += cluster.history().leaders();
    lost_disks += faults.lost_disks();
  }
  // Guards against runs without faults or acknowledgements, which would verify nothing.
  EXPECT_GT(acknowledged, seeds * 50);
  EXPECT_GT(reads, seeds * 20);
  EXPECT_GT(leaders, seeds * 2);
  EXPECT_GT(lost_disks, seeds / 10);
  std::cout << seeds << " seeds, " << GetParam() << " replicas: " << acknowledged
            << " acknowledged commands, " << reads << " reads, " << leaders << " leaderships, "
            << lost_disks << " lost disks\n";
}

// Immediately after an acknowledgement, the largest minority of the machines, chosen at random,
// lose their disks, and all others lose power.
TEST_P(RaftSimulationTest, LostDisksAndPowerLossKeepAcknowledgedEntries) {
  const uint64_t first = NumberFromEnvironment("POSTHATCH_FIRST_SEED", 1);
  const uint64_t seeds = NumberFromEnvironment("POSTHATCH_SEEDS", 30);
  for (uint64_t seed = first; seed < first + seeds; ++seed) {
    RaftWorld cluster(seed, GetParam());
    ASSERT_TRUE(cluster.RunUntilLeader()) << "seed " << seed;
    cluster.RunClients();
    cluster.world().RunFor(seconds(2));
    bool power_lost = false;
    cluster.SetOnAcknowledged([&cluster, &power_lost] {
      cluster.world().At(runtime::Duration::zero(), [&cluster, &power_lost] {
        const size_t size = cluster.nodes().size();
        const size_t lost = (size - 1) / 2;
        const size_t from = cluster.random().Uniform(size);
        for (size_t i = 0; i < size; ++i) {
          const size_t node = (from + i) % size;
          if (i < lost) {
            cluster.LoseDisk(node);
          } else {
            cluster.nodes()[node].host->PowerLoss();
          }
          cluster.world().At(cluster.random().Between(std::chrono::milliseconds(100), seconds(2)),
                             [&cluster, node] { cluster.nodes()[node].host->Start(); });
        }
        power_lost = true;
      });
    });
    ASSERT_TRUE(cluster.world().RunUntil([&power_lost] { return power_lost; }, seconds(20)));
    cluster.world().RunFor(seconds(5));
    const std::string failure = cluster.HealAndConverge();
    ASSERT_EQ(failure, "") << "seed " << seed;
    const std::vector<std::string> violations = cluster.history().Check(cluster.Length(0));
    ASSERT_TRUE(violations.empty()) << "seed " << seed << ": " << absl::StrJoin(violations, "; ");
  }
}

// When the network is partitioned into two halves, neither may acknowledge anything, whichever half
// the leader is in. After the partition heals, the cluster continues and no entry is lost.
TEST(EvenPartitionTest, NeitherHalfAcknowledgesAndNothingIsLost) {
  constexpr size_t kReplicas = 4;
  const uint64_t first = NumberFromEnvironment("POSTHATCH_FIRST_SEED", 1);
  const uint64_t seeds = NumberFromEnvironment("POSTHATCH_SEEDS", 30);
  for (uint64_t seed = first; seed < first + seeds; ++seed) {
    RaftWorld cluster(seed, kReplicas);
    ASSERT_TRUE(cluster.RunUntilLeader()) << "seed " << seed;
    cluster.RunClients();
    cluster.world().RunFor(seconds(2));
    for (size_t left = 0; left < kReplicas / 2; ++left) {
      for (size_t right = kReplicas / 2; right < kReplicas; ++right) {
        const std::string& one = cluster.nodes()[left].host->name();
        const std::string& other = cluster.nodes()[right].host->name();
        cluster.world().Partition(one, other);
        cluster.world().Partition(other, one);
      }
    }
    cluster.world().RunFor(seconds(1));  // for results of entries committed before the partition
    const size_t before = cluster.history().acknowledged();
    cluster.world().RunFor(seconds(6));
    EXPECT_EQ(cluster.history().acknowledged(), before) << "seed " << seed;
    EXPECT_EQ(cluster.Leader(), -1) << "seed " << seed;
    cluster.world().HealAll();
    cluster.world().RunFor(seconds(4));
    EXPECT_GT(cluster.history().acknowledged(), before) << "seed " << seed;
    ASSERT_EQ(cluster.HealAndConverge(), "") << "seed " << seed;
    const std::vector<std::string> violations = cluster.history().Check(cluster.Length(0));
    ASSERT_TRUE(violations.empty()) << "seed " << seed << ": " << absl::StrJoin(violations, "; ");
  }
}

// Nine controllers that don't know their number and have the same three seeds start at slightly
// different times and discover each other one by one, as through gossip.
class FirstStartTest : public testing::Test {
 protected:
  static constexpr size_t kControllers = 9;
  static constexpr size_t kSeeds = 3;

  // Whether all controllers are in one cluster with a leader within six seconds.
  static bool FormsOneCluster(uint64_t seed) {
    RaftWorld* world = nullptr;
    runtime::Random random(seed);
    std::vector<std::vector<runtime::MonotonicTime>> discovered_at(kControllers);
    const auto adjust = [&](size_t node, ReplicaOptions* options) {
      std::vector<std::string> seeds;
      for (size_t i = 0; i < kSeeds; ++i) {
        seeds.push_back(world->nodes()[i].host->internal_endpoint());
      }
      options->bootstrap_expect = kSeeds;
      options->bootstrap_voters = seeds;
      for (size_t i = 0; i < kControllers; ++i) {
        const auto delay = i < kSeeds ? runtime::Duration::zero()
                                      : random.Between(std::chrono::milliseconds(50),
                                                       std::chrono::milliseconds(1600));
        discovered_at[node].push_back(world->world().Now() + delay);
      }
      options->peers = [&discovered_at, &world, node] {
        std::vector<std::string> endpoints;
        for (size_t i = 0; i < kControllers; ++i) {
          if (world->world().Now() < discovered_at[node][i]) continue;
          endpoints.push_back(world->nodes()[i].host->internal_endpoint());
        }
        return endpoints;
      };
    };
    RaftWorld cluster(seed, kControllers, adjust, std::chrono::milliseconds(300));
    world = &cluster;
    return cluster.world().RunUntil([&cluster] { return cluster.IsFullyReplicated(); }, seconds(6));
  }
};

TEST_F(FirstStartTest, GradualDiscoveryFormsOneCluster) {
  const uint64_t first = NumberFromEnvironment("POSTHATCH_FIRST_SEED", 1);
  const uint64_t seeds = 5 * NumberFromEnvironment("POSTHATCH_SEEDS", 30);
  std::vector<uint64_t> failed;
  for (uint64_t seed = first; seed < first + seeds; ++seed) {
    if (!FormsOneCluster(seed)) failed.push_back(seed);
  }
  EXPECT_TRUE(failed.empty()) << failed.size() << " of " << seeds
                              << " seeds: " << absl::StrJoin(failed, ", ");
}

INSTANTIATE_TEST_SUITE_P(Sizes, RaftSimulationTest, testing::Values(3, 5));

}  // namespace
}  // namespace posthatch::consensus
