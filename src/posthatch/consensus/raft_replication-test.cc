#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "posthatch/consensus/core_harness-test.h"
#include "posthatch/consensus/raft_core.h"

namespace posthatch::consensus {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

size_t AppliedCommandCount(const CoreHarness::Node& node) {
  size_t count = 0;
  for (const storage::LogEntry& entry : node.applied) {
    count += entry.type() == storage::LogEntry::COMMAND ? 1 : 0;
  }
  return count;
}

TEST(RaftReplicationTest, LeaderDoesNotCountUnsyncedEntries) {
  CoreHarness cluster(3);
  const uint64_t leader = cluster.RunUntilLeader();
  const auto [follower, isolated] = CoreHarness::Others(leader);
  cluster.Isolate(isolated);
  cluster.node(leader).disk_blocked = true;
  ASSERT_TRUE(cluster.core(leader).Propose("x", cluster.now()).ok());
  cluster.Run(milliseconds(300));
  EXPECT_EQ(AppliedCommandCount(cluster.node(leader)), 0U);
  cluster.node(leader).disk_blocked = false;
  cluster.Run(milliseconds(300));
  EXPECT_EQ(AppliedCommandCount(cluster.node(leader)), 1U);
}

TEST(RaftReplicationTest, MajorityOfFollowersCommitsWithoutLeaderDisk) {
  CoreHarness cluster(3);
  const uint64_t leader = cluster.RunUntilLeader();
  cluster.node(leader).disk_blocked = true;
  ASSERT_TRUE(cluster.core(leader).Propose("x", cluster.now()).ok());
  cluster.Run(milliseconds(300));
  EXPECT_EQ(AppliedCommandCount(cluster.node(leader)), 1U);
}

TEST(RaftReplicationTest, FollowersAcknowledgeOnlyDurableEntries) {
  CoreHarness cluster(3);
  const uint64_t leader = cluster.RunUntilLeader();
  const auto [a, b] = CoreHarness::Others(leader);
  cluster.node(a).disk_blocked = true;
  cluster.node(b).disk_blocked = true;
  ASSERT_TRUE(cluster.core(leader).Propose("x", cluster.now()).ok());
  cluster.Run(seconds(3));
  EXPECT_EQ(AppliedCommandCount(cluster.node(leader)), 0U);
  EXPECT_TRUE(cluster.core(leader).IsLeader()) << "slow disks alone must not depose the leader";
  cluster.node(b).disk_blocked = false;
  cluster.Run(milliseconds(300));
  EXPECT_EQ(AppliedCommandCount(cluster.node(leader)), 1U);
}

TEST(RaftReplicationTest, UncommittedEntriesOfDeposedLeaderAreReplaced) {
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
    ASSERT_EQ(AppliedCommandCount(cluster.node(id)), 1U) << id;
    EXPECT_EQ(cluster.node(id).applied.back().data(), "kept");
    EXPECT_EQ(cluster.core(id).log().last_index(), cluster.core(leader).log().last_index());
  }
}

// Replica 1 of three; the test sends the messages of the others. Replica 1 has an entry of term 2
// at index 2 and has just been elected for term 4; its no-op at index 3 is not durable yet.
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
    cluster_.Run(seconds(2));  // requests pre-votes
    RespondToVote(/*pre_vote=*/true, 4);
    cluster_.RunUntilQuiescent();
    cluster_.node(1).disk_blocked = true;
    RespondToVote(/*pre_vote=*/false, 4);
    cluster_.RunUntilQuiescent();
  }

  void RespondToVote(bool pre_vote, uint64_t term) {
    RaftMessage message = From(2, term);
    message.mutable_vote_response()->set_pre_vote(pre_vote);
    message.mutable_vote_response()->set_granted(true);
    message.mutable_vote_response()->set_request_term(term);
    leader().Step(message, cluster_.now());
  }

  void RespondToAppend(uint64_t match_index) {
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
      RespondToAppend(match_index);
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

TEST_F(NewLeaderTest, EarlierTermEntryIsNotCommittedByCountingReplicas) {  // Raft paper, figure 8
  ASSERT_TRUE(leader().IsLeader());
  ASSERT_EQ(leader().term(), 4U);
  RespondToAppend(2);
  EXPECT_LT(leader().commit_index(), 2U);
  cluster_.node(1).disk_blocked = false;
  cluster_.RunUntilQuiescent();
  RespondToAppend(3);
  EXPECT_EQ(leader().commit_index(), 3U);
}

TEST_F(NewLeaderTest, ReadWaitsForEntryOfCurrentTerm) {
  ASSERT_TRUE(leader().RequestRead(cluster_.now()).ok());
  RunHeartbeats(3, 2);
  EXPECT_TRUE(cluster_.node(1).reads.empty());
}

TEST_F(NewLeaderTest, ChangesMembersOneAtATimeAfterCurrentTermEntry) {
  RequestJoin(9);
  RequestJoin(10);
  RunHeartbeats(5, 2);
  EXPECT_EQ(leader().log().last_index(), 3U);
  cluster_.node(1).disk_blocked = false;
  RunHeartbeats(5, 3);
  EXPECT_EQ(leader().log().last_index(), 4U)
      << "second change proposed before the first is committed";
  RunHeartbeats(5, 4);
  EXPECT_EQ(leader().log().last_index(), 5U);
}

TEST(RaftReplicationTest, ReadWaitsForMajorityRespondingAfterIt) {
  CoreHarness cluster(3);
  const uint64_t leader = cluster.RunUntilLeader();
  const auto [a, b] = CoreHarness::Others(leader);
  const absl::StatusOr<uint64_t> first = cluster.core(leader).RequestRead(cluster.now());
  ASSERT_TRUE(first.ok());
  cluster.RunUntilQuiescent();
  EXPECT_EQ(cluster.node(leader).reads.size(), 1U);
  cluster.Partition(a, leader);
  cluster.Partition(b, leader);
  ASSERT_TRUE(cluster.core(leader).RequestRead(cluster.now()).ok());
  cluster.Run(milliseconds(200));
  EXPECT_EQ(cluster.node(leader).reads.size(), 1U)
      << "completed by a leader that no majority confirmed";
}

TEST(RaftReplicationTest, RejectsProposalsBeyondLimit) {
  RaftOptions options;
  options.max_uncommitted_entries = 3;
  CoreHarness cluster(3, options);
  const uint64_t leader = cluster.RunUntilLeader();
  for (int i = 0; i < 3; ++i) {
    ASSERT_TRUE(cluster.core(leader).Propose("x", cluster.now()).ok());
  }
  EXPECT_TRUE(absl::IsResourceExhausted(cluster.core(leader).Propose("x", cluster.now()).status()));
  cluster.RunUntilQuiescent();
  EXPECT_TRUE(cluster.core(leader).Propose("x", cluster.now()).ok());
}

TEST(RaftReplicationTest, LimitsInFlightAppends) {
  RaftOptions options;
  options.max_in_flight_appends = 4;
  CoreHarness cluster(3, options);
  const uint64_t leader = cluster.RunUntilLeader();
  const uint64_t unreachable = CoreHarness::Others(leader).first;
  cluster.Partition(unreachable, leader);
  cluster.sent().clear();
  for (int i = 0; i < 20; ++i) {
    ASSERT_TRUE(cluster.core(leader).Propose("x", cluster.now()).ok());
    cluster.RunUntilQuiescent();
  }
  size_t to_unreachable = 0;
  for (const auto& [from, message] : cluster.sent()) {
    const bool has_entries = message.append_request().entries_size() > 0;
    to_unreachable += from == leader && message.to() == unreachable && has_entries ? 1 : 0;
  }
  EXPECT_EQ(to_unreachable, 4U);
  cluster.HealAll();
  cluster.Run(milliseconds(500));
  EXPECT_EQ(AppliedCommandCount(cluster.node(unreachable)), 20U);
}

TEST(RaftReplicationTest, MalformedAppendChangesNothing) {
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

TEST(RaftReplicationTest, RejectsOversizedCommands) {
  CoreHarness cluster(3);
  const uint64_t leader = cluster.RunUntilLeader();
  const absl::StatusOr<uint64_t> rejected =
      cluster.core(leader).Propose(std::string(9u << 20, 'x'), cluster.now());
  EXPECT_TRUE(absl::IsInvalidArgument(rejected.status()));
}

}  // namespace
}  // namespace posthatch::consensus
