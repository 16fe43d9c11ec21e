#include "posthatch/consensus/raft_core.h"

#include <gtest/gtest.h>

#include <chrono>
#include <memory>

#include "posthatch/consensus/core_harness-test.h"

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

size_t Commands(const CoreHarness::Node& node) {
  size_t count = 0;
  for (const storage::LogEntry& entry : node.applied) {
    count += entry.type() == storage::LogEntry::COMMAND ? 1 : 0;
  }
  return count;
}

TEST(RaftCoreTest, ElectsOneLeaderWithinTheElectionTimeouts) {
  CoreHarness cluster(3);
  cluster.Run(seconds(3));
  const uint64_t leader = cluster.Leader();
  ASSERT_NE(leader, 0U);
  EXPECT_TRUE(cluster.core(leader).CurrentTermCommitted());
  const auto [a, b] = CoreHarness::Others(leader);
  EXPECT_EQ(cluster.core(a).leader_id(), leader);
  EXPECT_EQ(cluster.core(b).leader_id(), leader);
}

TEST(RaftCoreTest, PreVoteKeepsACutOffReplicaFromRaisingTheTerm) {
  CoreHarness cluster(3);
  const uint64_t leader = cluster.RunUntilLeader();
  const uint64_t term = cluster.core(leader).term();
  const auto [cut, other] = CoreHarness::Others(leader);
  cluster.Isolate(cut);
  cluster.Run(seconds(20));
  EXPECT_EQ(cluster.core(cut).term(), term);
  cluster.HealAll();
  cluster.Run(seconds(3));
  EXPECT_EQ(cluster.Leader(), leader);
  EXPECT_EQ(cluster.core(leader).term(), term);
}

TEST(RaftCoreTest, OneWayCutDoesNotDeposeALeaderThatAMajorityHears) {
  CoreHarness cluster(3);
  const uint64_t leader = cluster.RunUntilLeader();
  const auto [deaf, other] = CoreHarness::Others(leader);
  cluster.Partition(leader, deaf);
  cluster.Run(seconds(10));
  EXPECT_EQ(cluster.Leader(), leader);
}

TEST(RaftCoreTest, LeaderWithoutMajorityStepsDownBeforeAnotherCanBeElected) {
  CoreHarness cluster(3);
  const uint64_t leader = cluster.RunUntilLeader();
  ASSERT_TRUE(cluster.core(leader).HasQuorum(cluster.now()));
  cluster.Isolate(leader);
  for (int i = 0; i < 1000 && cluster.core(leader).HasQuorum(cluster.now()); ++i) {
    cluster.Run(milliseconds(5));
  }
  // As long as the old leader counted on its majority, nobody else may have been elected.
  const auto [a, b] = CoreHarness::Others(leader);
  EXPECT_FALSE(cluster.core(a).IsLeader() || cluster.core(b).IsLeader());
  cluster.Run(milliseconds(200));
  EXPECT_FALSE(cluster.core(leader).IsLeader());
}

TEST(RaftCoreTest, FrozenLeaderHasNoQuorumAtTheMomentItWakes) {
  CoreHarness cluster(3);
  const uint64_t leader = cluster.RunUntilLeader();
  cluster.JumpClock(seconds(20));
  EXPECT_FALSE(cluster.core(leader).HasQuorum(cluster.now()));
  EXPECT_FALSE(cluster.core(leader).Propose("x", cluster.now()).ok());
  EXPECT_FALSE(cluster.core(leader).RequestRead(cluster.now()).ok());
}

TEST(RaftCoreTest, AnswersThatWaitedWhileTheLeaderWasFrozenGiveNoQuorum) {
  CoreHarness cluster(3);
  const uint64_t leader = cluster.RunUntilLeader();
  const auto [a, b] = CoreHarness::Others(leader);
  cluster.JumpClock(milliseconds(50));  // a heartbeat later than all that was answered so far
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

TEST(RaftCoreTest, VoterThatHeardALeaderOrRestartedRefusesForTheShortestTimeout) {
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

TEST(RaftCoreTest, ClusterThatRestartedAsAWholeElectsWithoutWaitingForAFormerLeader) {
  CoreHarness cluster(3);
  cluster.RunUntilLeader();
  for (uint64_t id : {1, 2, 3}) cluster.Boot(id);
  const runtime::MonotonicTime restarted = cluster.now();
  EXPECT_NE(cluster.RunUntilLeader(), 0U);
  EXPECT_LT(cluster.now() - restarted, milliseconds(600));
}

TEST(RaftCoreTest, RestartedVoterKeepsItsPromiseWhileOneMemberMayStillLead) {
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

TEST(RaftCoreTest, LeaderDoesNotCountItsOwnUnsyncedEntry) {
  CoreHarness cluster(3);
  const uint64_t leader = cluster.RunUntilLeader();
  const auto [follower, cut] = CoreHarness::Others(leader);
  cluster.Isolate(cut);
  cluster.node(leader).disk_blocked = true;
  ASSERT_TRUE(cluster.core(leader).Propose("x", cluster.now()).ok());
  cluster.Run(milliseconds(300));
  EXPECT_EQ(Commands(cluster.node(leader)), 0U);
  cluster.node(leader).disk_blocked = false;
  cluster.Run(milliseconds(300));
  EXPECT_EQ(Commands(cluster.node(leader)), 1U);
}

TEST(RaftCoreTest, MajorityOfFollowersCommitsWithoutTheLeadersDisk) {
  CoreHarness cluster(3);
  const uint64_t leader = cluster.RunUntilLeader();
  cluster.node(leader).disk_blocked = true;
  ASSERT_TRUE(cluster.core(leader).Propose("x", cluster.now()).ok());
  cluster.Run(milliseconds(300));
  EXPECT_EQ(Commands(cluster.node(leader)), 1U);
}

TEST(RaftCoreTest, FollowersAcknowledgeOnlyWhatIsDurable) {
  CoreHarness cluster(3);
  const uint64_t leader = cluster.RunUntilLeader();
  const auto [a, b] = CoreHarness::Others(leader);
  cluster.node(a).disk_blocked = true;
  cluster.node(b).disk_blocked = true;
  ASSERT_TRUE(cluster.core(leader).Propose("x", cluster.now()).ok());
  cluster.Run(seconds(3));
  EXPECT_EQ(Commands(cluster.node(leader)), 0U);
  EXPECT_TRUE(cluster.core(leader).IsLeader()) << "slow disks alone must not end a leadership";
  cluster.node(b).disk_blocked = false;
  cluster.Run(milliseconds(300));
  EXPECT_EQ(Commands(cluster.node(leader)), 1U);
}

TEST(RaftCoreTest, NoVoteIsAskedForOrGivenBeforeItIsDurable) {
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
  EXPECT_EQ(cluster.Leader(), 0U) << "votes of two blocked disks must not count";
}

TEST(RaftCoreTest, UncommittedEntriesOfADeposedLeaderGiveWay) {
  CoreHarness cluster(3);
  const uint64_t leader = cluster.RunUntilLeader();
  cluster.Isolate(leader);
  ASSERT_TRUE(cluster.core(leader).Propose("lost", cluster.now()).ok());
  cluster.Run(seconds(5));
  const uint64_t new_leader = cluster.Leader();
  ASSERT_NE(new_leader, leader);
  ASSERT_TRUE(cluster.core(new_leader).Propose("kept", cluster.now()).ok());
  cluster.Run(milliseconds(200));
  cluster.HealAll();
  cluster.Run(seconds(3));
  for (uint64_t id = 1; id <= 3; ++id) {
    ASSERT_EQ(Commands(cluster.node(id)), 1U) << id;
    EXPECT_EQ(cluster.node(id).applied.back().data(), "kept");
    EXPECT_EQ(cluster.core(id).log().last_index(), cluster.core(leader).log().last_index());
  }
}

// Replica 1 of three alone, the others played by the test. It has an entry of term 2 at index 2 and
// has just been elected for term 4; its no-op at index 3 is not durable yet.
class NewLeaderTest : public testing::Test {
 protected:
  NewLeaderTest() : cluster_(3) {
    storage::LogEntry old_entry;
    old_entry.set_index(2);
    old_entry.set_term(2);
    cluster_.node(1).entries.push_back(old_entry);
    cluster_.node(1).hard_state.set_term(3);
    cluster_.Boot(1);
    cluster_.node(2).up = cluster_.node(3).up = false;
    cluster_.Run(seconds(2));  // asks for pre-votes
    AnswerVote(/*pre_vote=*/true, 4);
    cluster_.Settle();
    cluster_.node(1).disk_blocked = true;
    AnswerVote(/*pre_vote=*/false, 4);
    cluster_.Settle();
  }

  void AnswerVote(bool pre_vote, uint64_t term) {
    RaftMessage message = From(2, term);
    message.mutable_vote_response()->set_pre_vote(pre_vote);
    message.mutable_vote_response()->set_granted(true);
    message.mutable_vote_response()->set_request_term(term);
    leader().Step(message, cluster_.now());
  }

  void AnswerAppend(uint64_t match_index) {
    RaftMessage message = From(2, 4);
    AppendResponse* response = message.mutable_append_response();
    response->set_success(true);
    response->set_verified_index(match_index);
    response->set_match_index(match_index);
    response->set_sent_at_ns(runtime::ToNanoseconds(cluster_.now()));
    leader().Step(message, cluster_.now());
  }

  void RequestJoin(uint64_t id) {
    RaftMessage message = From(id, 0);
    message.set_cluster_id(0);
    message.set_from_endpoint("host" + std::to_string(id));
    message.mutable_join_request();
    leader().Step(message, cluster_.now());
  }

  void RunHeartbeats(int count, uint64_t match_index) {
    for (int i = 0; i < count; ++i) {
      cluster_.Run(milliseconds(100));
      AnswerAppend(match_index);
    }
  }

  RaftMessage From(uint64_t id, uint64_t term) {
    RaftMessage message;
    message.set_cluster_id(99);
    message.set_from(id);
    message.set_to(1);
    message.set_term(term);
    message.set_from_endpoint("host" + std::to_string(id));
    return message;
  }

  RaftCore& leader() { return cluster_.core(1); }

  CoreHarness cluster_;
};

TEST_F(NewLeaderTest, EntryOfAnEarlierTermIsNotCommittedByCountingReplicas) {  // figure 8
  ASSERT_TRUE(leader().IsLeader());
  ASSERT_EQ(leader().term(), 4U);
  AnswerAppend(2);
  EXPECT_LT(leader().commit_index(), 2U);
  cluster_.node(1).disk_blocked = false;
  cluster_.Settle();
  AnswerAppend(3);
  EXPECT_EQ(leader().commit_index(), 3U);
}

TEST_F(NewLeaderTest, ReadWaitsForAnEntryOfTheOwnTerm) {
  ASSERT_TRUE(leader().RequestRead(cluster_.now()).ok());
  RunHeartbeats(3, 2);
  EXPECT_TRUE(cluster_.node(1).reads.empty());
}

TEST_F(NewLeaderTest, ChangesMembersOnlyAfterAnEntryOfTheOwnTermAndOneAtATime) {
  RequestJoin(9);
  RequestJoin(10);
  RunHeartbeats(5, 2);
  EXPECT_EQ(leader().log().last_index(), 3U);
  cluster_.node(1).disk_blocked = false;
  RunHeartbeats(5, 3);
  EXPECT_EQ(leader().log().last_index(), 4U) << "a second change before the first is committed";
  RunHeartbeats(5, 4);
  EXPECT_EQ(leader().log().last_index(), 5U);
}

TEST(RaftCoreTest, ReadWaitsForAMajorityThatAnswersAfterIt) {
  CoreHarness cluster(3);
  const uint64_t leader = cluster.RunUntilLeader();
  const auto [a, b] = CoreHarness::Others(leader);
  const absl::StatusOr<uint64_t> first = cluster.core(leader).RequestRead(cluster.now());
  ASSERT_TRUE(first.ok());
  cluster.Settle();
  EXPECT_EQ(cluster.node(leader).reads.size(), 1U);
  cluster.Partition(a, leader);
  cluster.Partition(b, leader);
  ASSERT_TRUE(cluster.core(leader).RequestRead(cluster.now()).ok());
  cluster.Run(milliseconds(200));
  EXPECT_EQ(cluster.node(leader).reads.size(), 1U) << "answered by a leader nobody confirmed";
}

TEST(RaftCoreTest, TransferredLeaderResignsBeforeTheTargetStandsForElection) {
  CoreHarness cluster(3);
  const uint64_t leader = cluster.RunUntilLeader();
  ASSERT_TRUE(cluster.core(leader).TransferLeadership(UINT64_MAX, cluster.now()));
  EXPECT_FALSE(cluster.core(leader).HasQuorum(cluster.now()));
  cluster.Settle();
  const uint64_t new_leader = cluster.Leader();
  EXPECT_NE(new_leader, 0U);
  EXPECT_NE(new_leader, leader);
}

TEST(RaftCoreTest, TransferWaitsUntilTheTargetHasEverything) {
  CoreHarness cluster(3);
  const uint64_t leader = cluster.RunUntilLeader();
  const auto [a, b] = CoreHarness::Others(leader);
  cluster.node(a).disk_blocked = true;
  cluster.node(b).disk_blocked = true;
  ASSERT_TRUE(cluster.core(leader).Propose("x", cluster.now()).ok());
  ASSERT_TRUE(cluster.core(leader).TransferLeadership(UINT64_MAX, cluster.now()));
  EXPECT_FALSE(cluster.core(leader).Propose("y", cluster.now()).ok());
  cluster.Settle();
  EXPECT_EQ(CountSent(cluster, leader, RaftMessage::kTimeoutNow), 0U);
  cluster.Run(seconds(1));
  EXPECT_TRUE(cluster.core(leader).IsLeader()) << "given up: it goes on leading";
  EXPECT_TRUE(cluster.core(leader).Propose("y", cluster.now()).ok());
}

TEST(RaftCoreTest, RefusesProposalsBeyondTheLimit) {
  RaftOptions options;
  options.max_uncommitted_entries = 3;
  CoreHarness cluster(3, options);
  const uint64_t leader = cluster.RunUntilLeader();
  for (int i = 0; i < 3; ++i) {
    ASSERT_TRUE(cluster.core(leader).Propose("x", cluster.now()).ok());
  }
  EXPECT_TRUE(absl::IsResourceExhausted(cluster.core(leader).Propose("x", cluster.now()).status()));
  cluster.Settle();
  EXPECT_TRUE(cluster.core(leader).Propose("x", cluster.now()).ok());
}

TEST(RaftCoreTest, LimitsUnansweredAppends) {
  RaftOptions options;
  options.max_in_flight_appends = 4;
  CoreHarness cluster(3, options);
  const uint64_t leader = cluster.RunUntilLeader();
  const uint64_t deaf = CoreHarness::Others(leader).first;
  cluster.Partition(deaf, leader);
  cluster.sent().clear();
  for (int i = 0; i < 20; ++i) {
    ASSERT_TRUE(cluster.core(leader).Propose("x", cluster.now()).ok());
    cluster.Settle();
  }
  size_t to_deaf = 0;
  for (const auto& [from, message] : cluster.sent()) {
    const bool has_entries = message.append_request().entries_size() > 0;
    to_deaf += from == leader && message.to() == deaf && has_entries ? 1 : 0;
  }
  EXPECT_EQ(to_deaf, 4U);
  cluster.HealAll();
  cluster.Run(milliseconds(500));
  EXPECT_EQ(Commands(cluster.node(deaf)), 20U);
}

TEST(RaftCoreTest, MessagesForALostIdentityAreNotTaken) {
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

TEST(RaftCoreTest, MalformedAppendChangesNothing) {
  CoreHarness cluster(3);
  const uint64_t leader = cluster.RunUntilLeader();
  const uint64_t other = CoreHarness::Others(leader).first;
  const uint64_t last = cluster.core(other).log().last_index();
  RaftMessage request = cluster.core(leader).NewMessage(other);
  request.mutable_append_request()->set_prev_index(last);
  request.mutable_append_request()->set_prev_term(cluster.core(other).log().last_term());
  request.mutable_append_request()->add_entries()->set_index(last + 2);
  cluster.core(other).Step(request, cluster.now());
  EXPECT_EQ(cluster.core(other).log().last_index(), last);
}

// ---------------------------------------------------------------------------------- snapshots

// A replica with entries that nobody else has is given a snapshot that ends among them.
TEST(RaftCoreTest, SnapshotReplacesALogThatContradictsIt) {
  CoreHarness cluster(3);
  const uint64_t leader = cluster.RunUntilLeader();
  cluster.Isolate(leader);
  for (int i = 0; i < 10; ++i) {
    ASSERT_TRUE(cluster.core(leader).Propose("lost", cluster.now()).ok());
  }
  cluster.Run(seconds(5));
  const uint64_t new_leader = cluster.Leader();
  ASSERT_NE(new_leader, leader);
  for (int i = 0; i < 5; ++i) {
    ASSERT_TRUE(cluster.core(new_leader).Propose("kept", cluster.now()).ok());
  }
  cluster.Run(milliseconds(200));
  const RaftCore& source = cluster.core(new_leader);
  auto snapshot = std::make_shared<storage::Snapshot>();
  snapshot->metadata.set_index(source.applied_index());
  snapshot->metadata.set_term(*source.log().Term(source.applied_index()));
  snapshot->metadata.set_configuration(source.configuration().SerializeAsString());
  ASSERT_GT(cluster.core(leader).log().last_index(), source.applied_index());
  cluster.core(leader).OnSnapshotInstalled(snapshot, cluster.now());
  EXPECT_EQ(cluster.core(leader).log().last_index(), source.applied_index());
  EXPECT_EQ(cluster.core(leader).log().last_term(), snapshot->metadata.term());
  const Ready ready = cluster.core(leader).TakeReady(cluster.now());
  ASSERT_TRUE(ready.reset.has_value()) << "the entries on disk must be voided too";
  EXPECT_EQ(ready.reset->index(), source.applied_index());
}

TEST(RaftCoreTest, CompactionKeepsTheEndOfTheLogWithinBothLimits) {
  CoreHarness cluster(3);
  const uint64_t leader = cluster.RunUntilLeader();
  RaftCore& core = cluster.core(leader);
  const auto append_and_compact = [&](size_t bytes) {
    for (int i = 0; i < 10; ++i) {
      ASSERT_TRUE(core.Propose(std::string(bytes, 'x'), cluster.now()).ok());
    }
    cluster.Run(milliseconds(200));
    auto snapshot = std::make_shared<storage::Snapshot>();
    snapshot->metadata.set_index(core.applied_index());
    core.OnSnapshotTaken(snapshot, {.entries = 5, .bytes = 3'500}, cluster.now());
  };
  append_and_compact(1);
  EXPECT_EQ(core.log().last_index() - core.log().base_index(), 5U);
  append_and_compact(1'000);
  EXPECT_EQ(core.log().last_index() - core.log().base_index(), 3U);
}

TEST(RaftCoreTest, SnapshotKeepsEntriesThatContinueIt) {
  CoreHarness cluster(3);
  const uint64_t leader = cluster.RunUntilLeader();
  const uint64_t follower = CoreHarness::Others(leader).first;
  cluster.Isolate(follower);
  RaftCore& core = cluster.core(follower);
  const uint64_t applied = core.applied_index();
  RaftMessage append = cluster.core(leader).NewMessage(follower);
  AppendRequest* request = append.mutable_append_request();
  request->set_prev_index(applied);
  request->set_prev_term(core.log().last_term());
  for (uint64_t index = applied + 1; index <= applied + 4; ++index) {
    request->add_entries()->set_index(index);
    request->mutable_entries(request->entries_size() - 1)->set_term(core.term());
  }
  core.Step(append, cluster.now());
  auto snapshot = std::make_shared<storage::Snapshot>();
  snapshot->metadata.set_index(applied + 2);
  snapshot->metadata.set_term(core.term());
  snapshot->metadata.set_configuration(core.configuration().SerializeAsString());
  core.OnSnapshotInstalled(snapshot, cluster.now());
  EXPECT_EQ(core.log().last_index(), applied + 4);
  EXPECT_EQ(core.applied_index(), applied + 2);
  EXPECT_FALSE(core.TakeReady(cluster.now()).reset.has_value());
}

TEST(RaftCoreTest, RefusesCommandsThatNoMessageCouldCarry) {
  CoreHarness cluster(3);
  const uint64_t leader = cluster.RunUntilLeader();
  const absl::StatusOr<uint64_t> refused =
      cluster.core(leader).Propose(std::string(9u << 20, 'x'), cluster.now());
  EXPECT_TRUE(absl::IsInvalidArgument(refused.status()));
}

}  // namespace
}  // namespace posthatch::consensus
