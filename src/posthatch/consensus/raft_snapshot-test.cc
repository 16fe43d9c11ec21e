#include <gtest/gtest.h>

#include <chrono>
#include <memory>

#include "posthatch/consensus/core_harness-test.h"
#include "posthatch/consensus/raft_core.h"

namespace posthatch::consensus {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A replica with uncommitted entries installs a snapshot that ends within their range of indexes.
TEST(RaftSnapshotTest, SnapshotReplacesConflictingLog) {
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
  ASSERT_TRUE(ready.reset.has_value()) << "the entries on disk must be discarded too";
  EXPECT_EQ(ready.reset->index(), source.applied_index());
}

TEST(RaftSnapshotTest, CompactionRetainsLogWithinBothLimits) {
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

TEST(RaftSnapshotTest, SnapshotKeepsSubsequentEntries) {
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

}  // namespace
}  // namespace posthatch::consensus
