#include <gtest/gtest.h>

#include <numeric>

#include "posthatch/index/fake_parts-test.h"
#include "posthatch/index/replication/extent_codec.h"
#include "posthatch/index/replication/index_update_publisher.h"
#include "posthatch/index/replication/index_update_receiver.h"

namespace posthatch::index {
namespace {

using invalidation::MakeVersion;
using std::chrono::milliseconds;

// A publisher and a receiver; the test carries the messages.
class IndexUpdateTest : public testing::Test {
 protected:
  IndexUpdateTest() {
    trust_.versions["worker/w"] = MakeVersion(100, 0);
    trust_.versions["model/m"] = MakeVersion(1, 0);
    trust_.versions["tenant/"] = MakeVersion(1, 0);
    fleet_.AddLease("w", "other", 1, 30);
    publisher_.Begin("w", 100, 30);
  }
  void Store(const std::vector<BlockHash>& blocks, uint64_t sequence = 0) {
    Extent extent = MakeExtent("w", MakeVersion(100, sequence), seed_);
    extent.set_block_hashes(PackBlocks(blocks));
    publisher_.AddStored("w", extent);
    fakes_.timers.Advance(milliseconds(60));
  }
  void Remove(const std::vector<BlockHash>& blocks) {
    publisher_.AddRemoved("w", blocks);
    fakes_.timers.Advance(milliseconds(60));
  }
  std::vector<IndexUpdate> TakeSent() {
    std::vector<IndexUpdate> updates;
    for (const auto& sent : fakes_.transport.sent) {
      IndexMessage message;
      message.ParseFromString(sent.payload);
      updates.push_back(message.update());
    }
    fakes_.transport.sent.clear();
    return updates;
  }
  void Receive(const IndexUpdate& update, uint64_t incarnation = 1) {
    receiver_.Receive(incarnation, update);
  }
  uint64_t blocks() const { return locator_.index_stats().blocks; }

  const BlockSeed seed_{"m", 1, "", 1};
  IndexFakes fakes_;
  FakeTrust trust_;
  FakeFleet fleet_;
  IndexUpdatePublisherOptions options_{milliseconds(50), 1000, 2000};
  IndexUpdateFanout fanout_{&fakes_.runtime, {.zone = "z"}, [] {
                              return std::vector<IndexPeer>{{"other", "z", "10.0.0.2:7000"}};
                            }};
  IndexUpdatePublisher publisher_{&fakes_.runtime, options_, &fanout_};
  TrustedPrefixLocator locator_{{1 << 20, nullptr}, &trust_};
  IndexUpdateReceiver receiver_{fakes_.runtime.clock, &fleet_, &trust_, &locator_};
};

TEST_F(IndexUpdateTest, StoredAndRemovedBlocksArrive) {
  Store({1, 2, 3});
  for (const IndexUpdate& update : TakeSent()) Receive(update);
  EXPECT_EQ(locator_.Locate(seed_, {1, 2, 3}).at(0).blocks, 3u);
  Remove({3});
  for (const IndexUpdate& update : TakeSent()) Receive(update);
  EXPECT_EQ(locator_.Locate(seed_, {1, 2, 3}).at(0).blocks, 2u);
}

TEST_F(IndexUpdateTest, BlockStoredAfterRemovalStays) {
  Store({1, 2});
  publisher_.AddRemoved("w", {1, 2});
  Store({1});
  for (const IndexUpdate& update : TakeSent()) Receive(update);
  EXPECT_EQ(blocks(), 1u);
}

TEST_F(IndexUpdateTest, BlockRemovedAfterStoreIsGone) {
  Extent extent = MakeExtent("w", MakeVersion(100, 0), seed_);
  extent.set_block_hashes(PackBlocks({1, 2}));
  publisher_.AddStored("w", extent);
  Remove({2});
  const auto updates = TakeSent();
  EXPECT_EQ(updates.size(), 1u);
  for (const IndexUpdate& update : updates) Receive(update);
  EXPECT_EQ(blocks(), 1u);
}

// After a loss the worker's list may arrive before the channel announces the new version here.
TEST_F(IndexUpdateTest, ExtentAheadOfVersionIsDeferred) {
  Store({1, 2, 3}, /*sequence=*/1);
  for (const IndexUpdate& update : TakeSent()) Receive(update);
  EXPECT_EQ(blocks(), 0u);
  receiver_.OnVersionsAdvanced();
  EXPECT_EQ(blocks(), 0u) << "the version has not been announced yet";
  Remove({2});
  for (const IndexUpdate& update : TakeSent()) Receive(update);
  trust_.versions["worker/w"] = MakeVersion(100, 1);
  receiver_.OnVersionsAdvanced();
  EXPECT_EQ(blocks(), 2u) << "without the block that was removed meanwhile";
  EXPECT_EQ(receiver_.stats().extents_deferred, 1u);
  receiver_.OnVersionsAdvanced();
  EXPECT_EQ(blocks(), 2u);
}

TEST_F(IndexUpdateTest, ExtentOfOlderVersionIsNotDeferred) {
  trust_.versions["worker/w"] = MakeVersion(100, 2);
  Store({1}, /*sequence=*/1);
  for (const IndexUpdate& update : TakeSent()) Receive(update);
  EXPECT_EQ(receiver_.stats().extents_deferred, 0u);
  EXPECT_EQ(receiver_.stats().extents_untrusted, 1u);
}

TEST_F(IndexUpdateTest, DeferralEndsWithNextVersionOrGap) {
  Store({1}, /*sequence=*/1);
  for (const IndexUpdate& update : TakeSent()) Receive(update);
  trust_.versions["worker/w"] = MakeVersion(100, 2);  // lost again meanwhile
  receiver_.OnVersionsAdvanced();
  EXPECT_EQ(blocks(), 0u);
  Store({2}, /*sequence=*/3);
  Store({3}, /*sequence=*/3);
  Store({4}, /*sequence=*/3);
  const auto updates = TakeSent();
  Receive(updates[0]);
  Receive(updates[2]);  // the second update is missing
  trust_.versions["worker/w"] = MakeVersion(100, 3);
  receiver_.OnVersionsAdvanced();
  EXPECT_EQ(blocks(), 1u) << "only what came after the gap";
}

// Separate messages to each gateway for each removal took most of the processor time of a gateway
// in a fleet of 77.
TEST_F(IndexUpdateTest, RemovalsAreBatched) {
  for (BlockHash block = 1; block <= 30; ++block) publisher_.AddRemoved("w", {block});
  fakes_.timers.Advance(milliseconds(60));
  EXPECT_EQ(TakeSent().size(), 1u);
}

TEST_F(IndexUpdateTest, GapDropsHolder) {
  // The missing update may also remove blocks of a local dispatch.
  locator_.RecordDispatch(seed_, {7, 8}, "w", 100);
  Store({1});
  Store({2});
  Store({3});
  const auto updates = TakeSent();
  Receive(updates[0]);
  EXPECT_EQ(blocks(), 3u);
  Receive(updates[2]);
  EXPECT_EQ(receiver_.stats().gaps, 1u);
  EXPECT_EQ(blocks(), 1u) << "only what came after the gap";
  Receive(updates[1]);  // out of order
  EXPECT_EQ(blocks(), 1u);
}

TEST_F(IndexUpdateTest, DuplicateIsAppliedOnce) {
  Store({1});
  const auto stored = TakeSent();
  Remove({1});
  const auto removed = TakeSent();
  Receive(stored[0]);
  Receive(removed[0]);
  Receive(stored[0]);
  EXPECT_EQ(blocks(), 0u);
  EXPECT_EQ(receiver_.stats().duplicates, 1u);
}

TEST_F(IndexUpdateTest, PreviousLeaseHolderIsFenced) {
  Store({1});
  const auto previous = TakeSent();
  fleet_.fleet.mutable_leases(0)->set_fencing_token(40);  // known from the control state
  Receive(previous[0]);
  EXPECT_EQ(blocks(), 0u);
  publisher_.Begin("w", 100, 50);  // known from the new lease holder only
  Store({2});
  Receive(TakeSent()[0], 2);
  IndexUpdate delayed = previous[0];
  delayed.set_fencing_token(45);
  Receive(delayed);
  EXPECT_EQ(blocks(), 1u);
  EXPECT_EQ(receiver_.stats().fenced, 2u);
}

TEST_F(IndexUpdateTest, ExtentsOfOlderVersionAreNotTrusted) {
  Store({1}, 0);
  const auto update = TakeSent();
  trust_.versions["worker/w"] = MakeVersion(100, 1);  // a loss became known meanwhile
  Receive(update[0]);
  EXPECT_EQ(blocks(), 0u);
  EXPECT_EQ(receiver_.stats().extents_untrusted, 1u);
}

TEST_F(IndexUpdateTest, RateLimitDropsStoresAndSkipsNumberForRemovals) {
  Store(std::vector<BlockHash>(200, 5));
  Store(std::vector<BlockHash>(200, 6));
  EXPECT_EQ(TakeSent().size(), 1u);
  EXPECT_GT(publisher_.stats().stored_blocks_dropped, 0u);
  std::vector<BlockHash> many(200);
  std::iota(many.begin(), many.end(), 1);
  Remove(many);
  EXPECT_EQ(publisher_.stats().updates_skipped, 1u);
  fakes_.timers.Advance(std::chrono::seconds(3));
  Remove({9});
  const auto next = TakeSent();
  ASSERT_EQ(next.size(), 1u);
  EXPECT_EQ(next[0].update(), 3u) << "2 is missing: the receivers see a gap";
}

TEST_F(IndexUpdateTest, MalformedUpdateIsGap) {
  Store({1});
  Store({2});
  auto updates = TakeSent();
  updates[0].set_removed("abc");
  Receive(updates[0]);
  Receive(updates[1]);
  EXPECT_EQ(receiver_.stats().malformed, 1u);
  EXPECT_EQ(receiver_.stats().gaps, 1u);
}

}  // namespace
}  // namespace posthatch::index
