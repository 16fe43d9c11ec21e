#include "posthatch/consensus/raft_replica.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "posthatch/consensus/fault_mix-test.h"
#include "posthatch/consensus/raft_world-test.h"

namespace posthatch::consensus {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(RaftReplicaTest, EqualSeedsGiveEqualRuns) {
  const auto hash_of = [](uint64_t seed) {
    RaftWorld cluster(seed, 3);
    cluster.RunClients();
    FaultMix faults(&cluster);
    faults.Run(seconds(10));
    return cluster.world().trace_hash();
  };
  EXPECT_EQ(hash_of(5), hash_of(5));
  EXPECT_NE(hash_of(5), hash_of(6));
}

TEST(RaftReplicaTest, DisksLostInSequenceAreReplacedWithoutDataLoss) {
  RaftWorld cluster(11, 3);
  ASSERT_TRUE(cluster.RunUntilLeader());
  cluster.RunClients();
  for (size_t i = 0; i < 3; ++i) {
    ASSERT_TRUE(
        cluster.world().RunUntil([&cluster] { return cluster.IsFullyReplicated(); }, seconds(30)));
    const uint64_t old_id = cluster.Replica(i)->Status().replica_id;
    cluster.LoseDisk(i);
    cluster.nodes()[i].host->Start();
    cluster.world().RunFor(seconds(5));
    ASSERT_TRUE(cluster.Usable(i));
    EXPECT_NE(cluster.Replica(i)->Status().replica_id, old_id);
  }
  ASSERT_TRUE(
      cluster.world().RunUntil([&cluster] { return cluster.IsFullyReplicated(); }, seconds(30)));
  EXPECT_EQ(cluster.HealAndConverge(), "");
  EXPECT_TRUE(cluster.history().Check(cluster.Length(0)).empty());
  EXPECT_GT(cluster.history().acknowledged(), 100U);
}

// Guards against a paused leader that steps down before the others can answer it.
TEST(RaftReplicaTest, BrieflyPausedLeaderStaysLeaderAndReportsThePause) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    RaftWorld cluster(seed, 3);
    ASSERT_TRUE(cluster.RunUntilLeader());
    cluster.world().RunFor(seconds(2));
    const int leader = cluster.Leader();
    simulation::SimHost* host = cluster.nodes()[static_cast<size_t>(leader)].host;
    host->Freeze();
    // Shorter than the shortest election timeout, less the time since the last heartbeat.
    cluster.world().RunFor(milliseconds(690));
    host->Thaw();
    cluster.world().RunFor(milliseconds(500));
    EXPECT_EQ(cluster.Leader(), leader) << seed;
    const std::vector<std::string> trace = cluster.world().RecentTrace();
    EXPECT_TRUE(std::any_of(trace.begin(), trace.end(), [](const std::string& line) {
      return line.find("ReplicaTickDelayed") != std::string::npos;
    })) << seed;
  }
}

TEST(RaftReplicaTest, LeaderWithSlowDiskTransfersLeadership) {
  RaftWorld cluster(12, 3);
  ASSERT_TRUE(cluster.RunUntilLeader());
  cluster.RunClients();
  const int slow = cluster.Leader();
  cluster.nodes()[static_cast<size_t>(slow)].host->SetDiskDelay(milliseconds(400));
  ASSERT_TRUE(cluster.world().RunUntil(
      [&] { return cluster.Leader() >= 0 && cluster.Leader() != slow; }, seconds(10)));
  cluster.world().RunFor(seconds(10));
  EXPECT_NE(cluster.Leader(), slow);
  cluster.StopClients();
}

TEST(RaftReplicaTest, FullDiskRejectsCommandsAndRecovers) {
  RaftWorld cluster(13, 3);
  ASSERT_TRUE(cluster.RunUntilLeader());
  for (RaftWorld::Node& node : cluster.nodes()) node.host->SetDiskFull(true);
  cluster.Append(static_cast<size_t>(cluster.Leader()));
  cluster.world().RunFor(seconds(2));
  EXPECT_EQ(cluster.history().acknowledged(), 0U);
  const int leader = cluster.Leader();
  ASSERT_GE(leader, 0);
  absl::Status rejected;
  cluster.Replica(static_cast<size_t>(leader))
      ->Propose("x", [&rejected](const absl::StatusOr<std::string>& result) {
        rejected = result.status();
      });
  EXPECT_TRUE(absl::IsResourceExhausted(rejected)) << rejected;
  cluster.RunClients();
  EXPECT_EQ(cluster.HealAndConverge(), "");
  EXPECT_TRUE(cluster.history().Check(cluster.Length(0)).empty());
}

TEST(RaftReplicaTest, TransferNeedsNoElectionTimeout) {
  RaftWorld cluster(14, 3);
  ASSERT_TRUE(cluster.RunUntilLeader());
  const int old_leader = cluster.Leader();
  absl::Status result = absl::UnknownError("no result");
  cluster.Replica(static_cast<size_t>(old_leader))
      ->TransferLeadership([&result](const absl::Status& status) { result = status; });
  EXPECT_TRUE(cluster.world().RunUntil(
      [&] { return cluster.Leader() >= 0 && cluster.Leader() != old_leader; }, milliseconds(500)));
  cluster.world().RunFor(milliseconds(500));
  EXPECT_TRUE(result.ok()) << result;
}

TEST(RaftReplicaTest, ThawedLeaderCompletesNoReadAndHasNoQuorum) {
  RaftWorld cluster(15, 3);
  ASSERT_TRUE(cluster.RunUntilLeader());
  const auto old_leader = static_cast<size_t>(cluster.Leader());
  cluster.nodes()[old_leader].host->Freeze();
  cluster.nodes()[old_leader].frozen = true;
  cluster.world().RunFor(seconds(21));
  ASSERT_GE(cluster.Leader(), 0);
  EXPECT_FALSE(cluster.Replica(old_leader)->HasQuorumNow());
  bool read_completed = false;
  cluster.Replica(old_leader)->ReadBarrier([&read_completed](const absl::Status& status) {
    read_completed = status.ok();
  });
  cluster.nodes()[old_leader].host->Thaw();
  cluster.world().RunFor(seconds(3));
  EXPECT_FALSE(read_completed);
}

TEST(RaftReplicaTest, SingleControllerBootstrapsAndSurvivesPowerLoss) {
  RaftWorld cluster(17, 1);
  ASSERT_TRUE(cluster.RunUntilLeader());
  cluster.RunClients();
  cluster.world().RunFor(seconds(5));
  cluster.nodes()[0].host->PowerLoss();
  EXPECT_EQ(cluster.HealAndConverge(), "");
  EXPECT_TRUE(cluster.history().Check(cluster.Length(0)).empty());
  EXPECT_GT(cluster.history().acknowledged(), 50U);
}

TEST(RaftReplicaTest, TwoOfThreeControllersFormNoCluster) {
  RaftWorld cluster(16, 3);
  cluster.nodes()[2].host->Crash();
  cluster.world().RunFor(seconds(20));
  EXPECT_EQ(cluster.Leader(), -1);
  cluster.nodes()[2].host->Start();
  EXPECT_TRUE(cluster.RunUntilLeader());
}

TEST(RaftReplicaTest, BootstrapsOneClusterDespiteCrashesAndLostDisks) {
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    RaftWorld cluster(seed, 3);
    // One replica crashes while the cluster is formed; with odd seeds it also loses its disk.
    cluster.world().RunFor(cluster.random().Between(milliseconds(500), milliseconds(1500)));
    const size_t i = cluster.random().Uniform(3);
    cluster.nodes()[i].host->PowerLoss();
    if (seed % 2 == 1) cluster.LoseDisk(i);
    cluster.world().RunFor(cluster.random().Between(milliseconds(1), seconds(4)));
    cluster.nodes()[i].host->Start();
    ASSERT_TRUE(
        cluster.world().RunUntil([&cluster] { return cluster.IsFullyReplicated(); }, seconds(60)))
        << "seed " << seed;
  }
}

}  // namespace
}  // namespace posthatch::consensus
