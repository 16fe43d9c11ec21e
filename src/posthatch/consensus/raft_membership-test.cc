#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "posthatch/consensus/core_harness-test.h"
#include "posthatch/consensus/raft_core.h"

namespace posthatch::consensus {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

void RequestJoin(CoreHarness& cluster, uint64_t leader, uint64_t id) {
  RaftMessage message = cluster.core(id).NewMessage(leader);
  message.set_cluster_id(0);
  message.mutable_join_request();
  cluster.core(leader).Step(message, cluster.now());
}

TEST(RaftMembershipTest, LearnerIsNotCountedOrPromotedBeforeCaughtUp) {
  RaftOptions options;
  options.target_voters = 3;
  options.replace_unresponsive_after = seconds(5);
  CoreHarness cluster(3, options);
  const uint64_t leader = cluster.RunUntilLeader();
  const auto [alive, dead] = CoreHarness::Others(leader);
  cluster.AddUnbootstrapped(9);
  cluster.node(9).disk_blocked = true;
  RequestJoin(cluster, leader, 9);
  cluster.node(dead).up = false;
  cluster.Run(seconds(20));
  ASSERT_NE(FindMember(cluster.core(leader).configuration(), 9), nullptr);
  EXPECT_FALSE(IsVoter(cluster.core(leader).configuration(), 9));
  EXPECT_TRUE(IsVoter(cluster.core(leader).configuration(), dead));
  cluster.node(9).disk_blocked = false;
  cluster.Run(seconds(2));
  EXPECT_TRUE(IsVoter(cluster.core(leader).configuration(), 9));
  EXPECT_EQ(FindMember(cluster.core(leader).configuration(), dead), nullptr);
  EXPECT_EQ(VoterCount(cluster.core(leader).configuration()), 3U);
}

TEST(RaftMembershipTest, ReplacementKeepsVoterCountAndChangesOneAtATime) {
  RaftOptions options;
  options.replace_unresponsive_after = seconds(5);
  CoreHarness cluster(3, options);
  const uint64_t leader = cluster.RunUntilLeader();
  const auto [alive, dead] = CoreHarness::Others(leader);
  cluster.AddUnbootstrapped(9);
  RequestJoin(cluster, leader, 9);
  cluster.node(dead).up = false;
  cluster.Run(seconds(20));
  ClusterConfiguration before;
  size_t changes = 0;
  for (const storage::LogEntry& entry : cluster.node(alive).applied) {
    if (entry.type() != storage::LogEntry::CONFIGURATION) continue;
    const ClusterConfiguration after = ParseConfiguration(entry.data());
    EXPECT_GE(VoterCount(after), 3U);
    size_t different = 0;
    for (uint64_t id : {1, 2, 3, 9}) different += IsVoter(before, id) != IsVoter(after, id);
    EXPECT_LE(different, entry.index() == 1 ? 3U : 1U);
    before = after;
    ++changes;
  }
  EXPECT_EQ(changes, 4U) << "initial configuration, learner, promotion, removal";
}

TEST(RaftMembershipTest, NewestEndpointWinsAndIsCommitted) {
  CoreHarness cluster(3);
  const uint64_t leader = cluster.RunUntilLeader();
  const uint64_t moved = CoreHarness::Others(leader).first;
  RaftMessage message = cluster.core(moved).NewMessage(leader);
  message.set_from_endpoint("elsewhere");
  message.set_from_boot_count(message.from_boot_count() + 1);
  cluster.core(leader).RecordEndpoint(message);
  RaftMessage older = cluster.core(moved).NewMessage(leader);
  cluster.core(leader).RecordEndpoint(older);
  EXPECT_EQ(cluster.core(leader).EndpointOf(moved), "elsewhere");
  cluster.Run(milliseconds(500));
  EXPECT_EQ(FindMember(cluster.core(leader).configuration(), moved)->endpoint(), "elsewhere");
}

TEST(RaftMembershipTest, ReplicaSupersededAtItsEndpointIsReplacedQuickly) {
  CoreHarness cluster(3);  // unresponsive voters are replaced after the default of 30 s
  const uint64_t leader = cluster.RunUntilLeader();
  const uint64_t lost = CoreHarness::Others(leader).first;
  cluster.node(lost).up = false;
  cluster.AddUnbootstrapped(9);
  RaftMessage message = cluster.core(9).NewMessage(leader);
  message.set_cluster_id(0);
  message.set_from_endpoint("host" + std::to_string(lost));
  message.mutable_join_request();
  cluster.core(leader).Step(message, cluster.now());
  cluster.Run(seconds(4));
  EXPECT_EQ(FindMember(cluster.core(leader).configuration(), lost), nullptr);
  EXPECT_TRUE(IsVoter(cluster.core(leader).configuration(), 9));
}

TEST(RaftMembershipTest, VoterReturningDuringReplacementLeavesTargetVoters) {
  RaftOptions options;
  options.replace_unresponsive_after = seconds(5);
  CoreHarness cluster(3, options);
  const uint64_t leader = cluster.RunUntilLeader();
  const auto [alive, unreachable] = CoreHarness::Others(leader);
  cluster.AddUnbootstrapped(9);
  RequestJoin(cluster, leader, 9);
  cluster.Run(seconds(1));
  cluster.Isolate(unreachable);
  for (int i = 0; i < 4000 && !IsVoter(cluster.core(leader).configuration(), 9); ++i) {
    cluster.Run(milliseconds(5));
  }
  cluster.HealAll();
  cluster.Run(seconds(10));
  EXPECT_EQ(VoterCount(cluster.core(cluster.Leader()).configuration()), 3U);
}

// target_voters exceeds the number of machines. A replaced voter must still be removed, or two
// machines lost in sequence leave only two live voters of four.
class ReplacementBelowTargetTest : public testing::Test {
 protected:
  static RaftOptions Options() {
    RaftOptions options;
    options.target_voters = 9;
    return options;
  }

  // A new replica `id` joins as the only one at `endpoint`.
  void Join(uint64_t id, const std::string& endpoint) {
    cluster_.AddUnbootstrapped(id);
    RaftMessage message = cluster_.core(id).NewMessage(leader_);
    message.set_cluster_id(0);
    message.set_from_endpoint(endpoint);
    message.mutable_join_request();
    cluster_.core(leader_).Step(message, cluster_.now());
  }

  const ClusterConfiguration& configuration() { return cluster_.core(leader_).configuration(); }

  CoreHarness cluster_{3, Options()};
  uint64_t leader_ = cluster_.RunUntilLeader();
};

TEST_F(ReplacementBelowTargetTest, LostDiskLeavesOneVoterPerMachine) {
  const uint64_t lost = CoreHarness::Others(leader_).first;
  cluster_.node(lost).up = false;
  cluster_.Run(milliseconds(500));
  Join(9, "host" + std::to_string(lost));
  cluster_.Run(seconds(3));
  EXPECT_TRUE(IsVoter(configuration(), 9));
  EXPECT_EQ(FindMember(configuration(), lost), nullptr);
  EXPECT_EQ(VoterCount(configuration()), 3U);
}

TEST_F(ReplacementBelowTargetTest, MachineReplacedAtNewAddressLeavesOneVoterPerMachine) {
  const uint64_t lost = CoreHarness::Others(leader_).first;
  cluster_.node(lost).up = false;
  cluster_.Run(milliseconds(1000));
  Join(9, "host9");
  cluster_.Run(seconds(3));
  EXPECT_TRUE(IsVoter(configuration(), 9));
  EXPECT_EQ(FindMember(configuration(), lost), nullptr);
  EXPECT_EQ(VoterCount(configuration()), 3U);
}

TEST_F(ReplacementBelowTargetTest, AdditionalMachineJoins) {
  Join(9, "host9");
  cluster_.Run(seconds(3));
  EXPECT_EQ(VoterCount(configuration()), 4U);
}

TEST_F(ReplacementBelowTargetTest, MachineLeavingAfterSuccessorJoinedLeavesThreeVoters) {
  Join(9, "host9");
  cluster_.Run(seconds(3));
  ASSERT_EQ(VoterCount(configuration()), 4U);
  const uint64_t leaving = CoreHarness::Others(leader_).first;
  cluster_.node(leaving).up = false;
  cluster_.Run(seconds(3));
  EXPECT_EQ(FindMember(configuration(), leaving), nullptr);
  EXPECT_EQ(VoterCount(configuration()), 3U);
  cluster_.node(leaving).up = true;
  RequestJoin(cluster_, leader_, leaving);
  cluster_.Run(seconds(3));
  EXPECT_TRUE(IsVoter(configuration(), leaving)) << "it was only unreachable";
}

TEST_F(ReplacementBelowTargetTest, PartitionedVoterRemainsWhileNobodyJoins) {
  const uint64_t unreachable = CoreHarness::Others(leader_).first;
  cluster_.Isolate(unreachable);
  cluster_.Run(seconds(6));
  EXPECT_TRUE(IsVoter(configuration(), unreachable));
}

}  // namespace
}  // namespace posthatch::consensus
