#include <gtest/gtest.h>

#include <chrono>

#include "posthatch/consensus/core_harness-test.h"
#include "posthatch/consensus/raft_core.h"

namespace posthatch::consensus {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

size_t CountSent(CoreHarness& cluster, uint64_t from, RaftMessage::BodyCase body) {
  size_t count = 0;
  for (const auto& [sender, message] : cluster.sent()) {
    if (sender == from && message.body_case() == body) ++count;
  }
  return count;
}

TEST(RaftElectionTest, ElectsOneLeaderWithinElectionTimeout) {
  CoreHarness cluster(3);
  cluster.Run(seconds(3));
  const uint64_t leader = cluster.Leader();
  ASSERT_NE(leader, 0U);
  EXPECT_TRUE(cluster.core(leader).CurrentTermCommitted());
  const auto [a, b] = CoreHarness::Others(leader);
  EXPECT_EQ(cluster.core(a).leader_id(), leader);
  EXPECT_EQ(cluster.core(b).leader_id(), leader);
}

TEST(RaftElectionTest, PreVoteKeepsPartitionedReplicaFromRaisingTerm) {
  CoreHarness cluster(3);
  const uint64_t leader = cluster.RunUntilLeader();
  const uint64_t term = cluster.core(leader).term();
  const auto [isolated, other] = CoreHarness::Others(leader);
  cluster.Isolate(isolated);
  cluster.Run(seconds(20));
  EXPECT_EQ(cluster.core(isolated).term(), term);
  cluster.HealAll();
  cluster.Run(seconds(3));
  EXPECT_EQ(cluster.Leader(), leader);
  EXPECT_EQ(cluster.core(leader).term(), term);
}

TEST(RaftElectionTest, OneWayPartitionDoesNotDeposeLeaderWithMajority) {
  CoreHarness cluster(3);
  const uint64_t leader = cluster.RunUntilLeader();
  const auto [unreachable, other] = CoreHarness::Others(leader);
  cluster.Partition(leader, unreachable);
  cluster.Run(seconds(10));
  EXPECT_EQ(cluster.Leader(), leader);
}

TEST(RaftElectionTest, LeaderWithoutMajorityStepsDownBeforeNextElection) {
  CoreHarness cluster(3);
  const uint64_t leader = cluster.RunUntilLeader();
  ASSERT_TRUE(cluster.core(leader).HasQuorum(cluster.now()));
  cluster.Isolate(leader);
  for (int i = 0; i < 1000 && cluster.core(leader).HasQuorum(cluster.now()); ++i) {
    cluster.Run(milliseconds(5));
  }
  // While the old leader had a quorum, no other leader may have been elected.
  const auto [a, b] = CoreHarness::Others(leader);
  EXPECT_FALSE(cluster.core(a).IsLeader() || cluster.core(b).IsLeader());
  cluster.Run(milliseconds(200));
  EXPECT_FALSE(cluster.core(leader).IsLeader());
}

// Guards against a leader that takes its own delay for the silence of the others: it sent no
// heartbeats meanwhile, and steps down before it sends one.
TEST(RaftElectionTest, DelayedLeaderStaysLeaderIfTheOthersRespond) {
  for (int delay_ms = 50; delay_ms <= 780; delay_ms += 10) {
    CoreHarness cluster(3);
    const uint64_t leader = cluster.RunUntilLeader();
    const uint64_t term = cluster.core(leader).term();
    cluster.Run(seconds(2));
    cluster.JumpClock(milliseconds(delay_ms));
    cluster.core(leader).Tick(cluster.now());
    cluster.RunUntilQuiescent();
    cluster.Run(milliseconds(100));
    EXPECT_EQ(cluster.Leader(), leader) << delay_ms;
    EXPECT_TRUE(cluster.core(leader).HasQuorum(cluster.now())) << delay_ms;
    EXPECT_EQ(cluster.core(leader).term(), term) << delay_ms;
  }
}

// Guards against followers that were delayed together, as by one large command, and replace a
// leader whose heartbeats they haven't read yet.
TEST(RaftElectionTest, DelayedFollowersReadHeartbeatsBeforeTheyAskForVotes) {
  CoreHarness cluster(3);
  const uint64_t leader = cluster.RunUntilLeader();
  const uint64_t term = cluster.core(leader).term();
  cluster.Run(seconds(2));
  cluster.JumpClock(seconds(2));
  const auto [a, b] = CoreHarness::Others(leader);
  // The delayed ticks run before the messages that wait are read.
  cluster.core(a).Tick(cluster.now());
  cluster.core(b).Tick(cluster.now());
  cluster.core(leader).Tick(cluster.now());
  cluster.RunUntilQuiescent();
  cluster.Run(seconds(3));
  EXPECT_EQ(cluster.Leader(), leader);
  EXPECT_EQ(cluster.core(leader).term(), term);
}

// The control: a leader whose messages are lost steps down, also if it is delayed again and again.
TEST(RaftElectionTest, DelayedLeaderWithoutMajorityStepsDown) {
  CoreHarness cluster(3);
  const uint64_t leader = cluster.RunUntilLeader();
  cluster.Run(seconds(2));
  cluster.Isolate(leader);
  for (int delay = 0; delay < 5; ++delay) {
    cluster.JumpClock(milliseconds(300));
    cluster.core(leader).Tick(cluster.now());
    cluster.RunUntilQuiescent();
  }
  cluster.Run(milliseconds(100));
  EXPECT_FALSE(cluster.core(leader).IsLeader());
}

TEST(RaftElectionTest, FrozenLeaderHasNoQuorumAfterThaw) {
  CoreHarness cluster(3);
  const uint64_t leader = cluster.RunUntilLeader();
  cluster.JumpClock(seconds(20));
  EXPECT_FALSE(cluster.core(leader).HasQuorum(cluster.now()));
  EXPECT_FALSE(cluster.core(leader).Propose("x", cluster.now()).ok());
  EXPECT_FALSE(cluster.core(leader).RequestRead(cluster.now()).ok());
}

TEST(RaftElectionTest, ResponsesDelayedByFreezeGiveNoQuorum) {
  CoreHarness cluster(3);
  const uint64_t leader = cluster.RunUntilLeader();
  const auto [a, b] = CoreHarness::Others(leader);
  cluster.JumpClock(milliseconds(50));  // a heartbeat after everything acknowledged so far
  const int64_t sent_at_ns = runtime::ToNanoseconds(cluster.now());
  cluster.JumpClock(seconds(20));
  for (uint64_t id : {a, b}) {
    RaftMessage reply = cluster.core(id).NewMessage(leader);
    reply.mutable_append_response()->set_success(true);
    reply.mutable_append_response()->set_sent_at_ns(sent_at_ns);
    cluster.core(leader).Step(reply, cluster.now());
  }
  EXPECT_FALSE(cluster.core(leader).HasQuorum(cluster.now()));
}

TEST(RaftElectionTest, VoterRefusesWithinLeaderLeaseAlsoAfterRestart) {
  CoreHarness cluster(3);
  const uint64_t leader = cluster.RunUntilLeader();
  const auto [voter, candidate] = CoreHarness::Others(leader);
  RaftMessage request = cluster.core(candidate).NewMessage(voter);
  request.set_term(cluster.core(voter).term() + 5);
  request.mutable_vote_request()->set_last_index(1000);
  request.mutable_vote_request()->set_last_term(1000);
  const uint64_t term = cluster.core(voter).term();
  cluster.core(voter).Step(request, cluster.now());
  EXPECT_EQ(cluster.core(voter).term(), term);
  cluster.Boot(voter);
  cluster.core(voter).Step(request, cluster.now());
  EXPECT_EQ(cluster.core(voter).term(), term);
  cluster.JumpClock(seconds(1));
  cluster.core(voter).Step(request, cluster.now());
  EXPECT_EQ(cluster.core(voter).vote(), candidate);
}

TEST(RaftElectionTest, FullClusterRestartElectsWithoutWaitingForLease) {
  CoreHarness cluster(3);
  cluster.RunUntilLeader();
  for (uint64_t id : {1, 2, 3}) cluster.Boot(id);
  const runtime::MonotonicTime restarted = cluster.now();
  EXPECT_NE(cluster.RunUntilLeader(), 0U);
  EXPECT_LT(cluster.now() - restarted, milliseconds(600));
}

TEST(RaftElectionTest, RestartedVoterHonorsLeaseWhileAMemberMayLead) {
  CoreHarness cluster(3);
  const uint64_t leader = cluster.RunUntilLeader();
  cluster.Isolate(leader);
  const auto [a, b] = CoreHarness::Others(leader);
  cluster.Boot(a);
  cluster.Boot(b);
  cluster.Run(milliseconds(700));
  EXPECT_FALSE(cluster.core(a).IsLeader() || cluster.core(b).IsLeader());
  cluster.Run(seconds(3));
  EXPECT_TRUE(cluster.core(a).IsLeader() || cluster.core(b).IsLeader());
}

TEST(RaftElectionTest, VotesAreRequestedAndGrantedOnlyWhenDurable) {
  CoreHarness cluster(3);
  for (uint64_t id = 1; id <= 3; ++id) cluster.node(id).disk_blocked = true;
  cluster.Run(seconds(5));
  for (const auto& [from, message] : cluster.sent()) {
    EXPECT_FALSE(message.has_vote_request() && !message.vote_request().pre_vote());
    EXPECT_FALSE(message.has_vote_response() && !message.vote_response().pre_vote() &&
                 message.vote_response().granted());
  }
  cluster.node(1).disk_blocked = false;
  cluster.Run(seconds(5));
  EXPECT_EQ(cluster.Leader(), 0U) << "votes from replicas with blocked disks must not count";
}

TEST(RaftElectionTest, TransferringLeaderStepsDownBeforeTargetElection) {
  CoreHarness cluster(3);
  const uint64_t leader = cluster.RunUntilLeader();
  ASSERT_TRUE(cluster.core(leader).TransferLeadership(UINT64_MAX, cluster.now()));
  EXPECT_FALSE(cluster.core(leader).HasQuorum(cluster.now()));
  cluster.RunUntilQuiescent();
  const uint64_t new_leader = cluster.Leader();
  EXPECT_NE(new_leader, 0U);
  EXPECT_NE(new_leader, leader);
}

TEST(RaftElectionTest, TransferWaitsUntilTargetIsCaughtUp) {
  CoreHarness cluster(3);
  const uint64_t leader = cluster.RunUntilLeader();
  const auto [a, b] = CoreHarness::Others(leader);
  cluster.node(a).disk_blocked = true;
  cluster.node(b).disk_blocked = true;
  ASSERT_TRUE(cluster.core(leader).Propose("x", cluster.now()).ok());
  ASSERT_TRUE(cluster.core(leader).TransferLeadership(UINT64_MAX, cluster.now()));
  EXPECT_FALSE(cluster.core(leader).Propose("y", cluster.now()).ok());
  cluster.RunUntilQuiescent();
  EXPECT_EQ(CountSent(cluster, leader, RaftMessage::kTimeoutNow), 0U);
  cluster.Run(seconds(1));
  EXPECT_TRUE(cluster.core(leader).IsLeader()) << "the transfer was abandoned, so it keeps leading";
  EXPECT_TRUE(cluster.core(leader).Propose("y", cluster.now()).ok());
}

TEST(RaftElectionTest, IgnoresMessagesForFormerReplicaId) {
  CoreHarness cluster(3);
  const uint64_t leader = cluster.RunUntilLeader();
  RaftMessage request = cluster.core(leader).NewMessage(4711);
  request.set_term(50);
  request.mutable_vote_request()->set_last_term(50);
  const uint64_t other = CoreHarness::Others(leader).first;
  cluster.JumpClock(seconds(5));
  cluster.core(other).Step(request, cluster.now());
  EXPECT_NE(cluster.core(other).term(), 50U);
}

}  // namespace
}  // namespace posthatch::consensus
