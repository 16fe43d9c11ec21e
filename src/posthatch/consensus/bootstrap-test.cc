#include "posthatch/consensus/bootstrap.h"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <utility>

#include "posthatch/consensus/core_harness-test.h"

namespace posthatch::consensus {
namespace {

using std::chrono::milliseconds;

// One unbootstrapped replica with id 10; the test sends the messages of the others.
class BootstrapTest : public testing::Test {
 protected:
  BootstrapTest()
      : random_(3),
        core_({}, &random_, Fresh(), now_),
        bootstrap_(
            std::in_place, &core_, &random_,
            BootstrapOptions{.expect = 3, .bootstrap_voters = {}, .target_voters = 3, .peers = [] {
                               return std::vector<std::string>{"host10", "host20", "host30"};
                             }}) {}

  // Recreates Bootstrap so that only `bootstrap_voters` may form a cluster.
  void SetBootstrapVoters(const std::vector<std::string>& bootstrap_voters) {
    bootstrap_.emplace(&core_, &random_,
                       BootstrapOptions{.expect = 3,
                                        .bootstrap_voters = bootstrap_voters,
                                        .target_voters = 9,
                                        .peers = [] { return std::vector<std::string>{}; }});
  }

  static RecoveredState Fresh() {
    RecoveredState state;
    state.hard_state.set_replica_id(10);
    state.hard_state.set_boot_count(1);
    state.endpoint = "host10";
    return state;
  }

  RaftMessage HelloFrom(uint64_t id, const std::vector<uint64_t>& unbootstrapped_peers) {
    RaftMessage message;
    message.set_from(id);
    message.set_from_endpoint("host" + std::to_string(id));
    message.set_from_boot_count(1);
    message.mutable_hello()->set_is_response(true);
    message.mutable_hello()->set_unbootstrapped(true);
    for (uint64_t peer_id : unbootstrapped_peers)
      message.mutable_hello()->add_unbootstrapped_peers(peer_id);
    return message;
  }

  // Runs the replica for two seconds; it receives `messages` every 100 ms.
  void Run(const std::vector<RaftMessage>& messages) {
    for (int i = 0; i < 20; ++i) {
      now_ += milliseconds(100);
      for (const RaftMessage& message : messages) bootstrap_->OnHello(message, now_);
      bootstrap_->Tick(now_);
    }
  }

  runtime::MonotonicTime now_{std::chrono::hours(1)};
  runtime::Random random_;
  RaftCore core_;
  std::optional<Bootstrap> bootstrap_;
};

TEST_F(BootstrapTest, LowestIdBootstrapsAllMutuallyVisibleReplicas) {
  Run({HelloFrom(20, {10, 30}), HelloFrom(30, {10, 20})});
  EXPECT_FALSE(core_.IsUnbootstrapped());
  EXPECT_EQ(VoterCount(core_.configuration()), 3U);
  EXPECT_NE(core_.cluster_id(), 0U);
}

TEST_F(BootstrapTest, WaitsForExpectedReplicas) {
  Run({HelloFrom(20, {10})});
  EXPECT_TRUE(core_.IsUnbootstrapped());
}

TEST_F(BootstrapTest, WaitsForMutualVisibility) {
  Run({HelloFrom(20, {10, 30}), HelloFrom(30, {10})});
  EXPECT_TRUE(core_.IsUnbootstrapped());
}

TEST_F(BootstrapTest, DefersToLowerId) {
  Run({HelloFrom(20, {10, 5}), HelloFrom(5, {10, 20})});
  EXPECT_TRUE(core_.IsUnbootstrapped());
}

TEST_F(BootstrapTest, OnlyBootstrapVoterFormsCluster) {
  SetBootstrapVoters({"host20", "host30", "host40"});
  Run({HelloFrom(20, {10, 30, 40}), HelloFrom(30, {10, 20, 40}), HelloFrom(40, {10, 20, 30})});
  EXPECT_TRUE(core_.IsUnbootstrapped());
}

TEST_F(BootstrapTest, BootstrapVoterWaitsForAllOthers) {
  SetBootstrapVoters({"host10", "host20", "host30"});
  Run({HelloFrom(20, {10, 40, 50}), HelloFrom(40, {10, 20, 50}), HelloFrom(50, {10, 20, 40})});
  EXPECT_TRUE(core_.IsUnbootstrapped());
}

TEST_F(BootstrapTest, LowestBootstrapVoterIncludesAllVisibleReplicas) {
  SetBootstrapVoters({"host10", "host20", "host30"});
  Run({HelloFrom(20, {10, 30}), HelloFrom(30, {10, 20}), HelloFrom(5, {10}), HelloFrom(40, {})});
  EXPECT_FALSE(core_.IsUnbootstrapped());
  EXPECT_EQ(VoterCount(core_.configuration()), 5U);
}

TEST_F(BootstrapTest, FormsNoClusterWhileAMemberIsVisible) {
  RaftMessage member = HelloFrom(40, {});
  member.set_cluster_id(77);
  member.mutable_hello()->set_unbootstrapped(false);
  Run({HelloFrom(20, {10, 30}), HelloFrom(30, {10, 20}), member});
  EXPECT_TRUE(core_.IsUnbootstrapped());
}

TEST_F(BootstrapTest, IgnoresFormerReplicaIdAtEndpoint) {
  RaftMessage second_replica = HelloFrom(21, {10});
  second_replica.set_from_endpoint("host20");
  Run({HelloFrom(20, {10, 21}), second_replica});
  EXPECT_TRUE(core_.IsUnbootstrapped());
}

TEST_F(BootstrapTest, RequestsLeaderToJoin) {
  RaftMessage member = HelloFrom(40, {});
  member.set_cluster_id(77);
  member.mutable_hello()->set_unbootstrapped(false);
  member.mutable_hello()->set_leader_id(50);
  member.mutable_hello()->set_leader_endpoint("host50");
  Run({member});
  size_t requests = 0;
  for (const OutgoingMessage& out : bootstrap_->TakeMessages()) {
    if (!out.message.has_join_request()) continue;
    ++requests;
    EXPECT_EQ(out.endpoint, "host50");
    EXPECT_EQ(out.message.to(), 50U);
  }
  EXPECT_GE(requests, 2U);
  EXPECT_LE(requests, 5U);
}

}  // namespace
}  // namespace posthatch::consensus
