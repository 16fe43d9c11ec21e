#include "posthatch/index/trusted_prefix_locator.h"

#include <gtest/gtest.h>

#include <map>

#include "posthatch/index/fake_parts-test.h"

namespace posthatch::index {
namespace {

using invalidation::MakeVersion;

class TrustedPrefixLocatorTest : public testing::Test {
 protected:
  TrustedPrefixLocatorTest() {
    trust_.versions["worker/w"] = MakeVersion(100, 2);
    trust_.versions["model/m"] = MakeVersion(3, 0);
    trust_.versions["tenant/"] = MakeVersion(8, 0);
    trust_.versions["tenant/t"] = MakeVersion(9, 0);
    locator_.RecordDispatch(shared_, chain_, "w", 100);
  }
  size_t CountHolders(const BlockSeed& seed) { return locator_.Locate(seed, chain_).size(); }

  FakeTrust trust_;
  bool has_session_lease_ = true;
  TrustedPrefixLocator locator_{{1 << 20, [this] { return has_session_lease_; }}, &trust_};
  const BlockSeed shared_{"m", 3, "", 8};
  const std::vector<BlockHash> chain_ = {11, 12, 13};
};

TEST_F(TrustedPrefixLocatorTest, FindsDispatchedChain) {
  const auto holders = locator_.Locate(shared_, {11, 12, 99});
  ASSERT_EQ(holders.size(), 1u);
  EXPECT_EQ(holders[0].backend_id, "w");
  EXPECT_EQ(holders[0].epoch, 100u);
  EXPECT_EQ(holders[0].blocks, 2u);
}

TEST_F(TrustedPrefixLocatorTest, ChannelTimeoutSuspendsTrust) {
  trust_.timed_out = true;
  EXPECT_EQ(CountHolders(shared_), 0u);
  trust_.timed_out = false;
  EXPECT_EQ(CountHolders(shared_), 1u);
}

TEST_F(TrustedPrefixLocatorTest, LossWithinEpochEndsTrust) {
  trust_.versions["worker/w"] = MakeVersion(100, 3);
  EXPECT_EQ(CountHolders(shared_), 0u);
  locator_.OnObjectChanged("worker/w");
  EXPECT_EQ(locator_.index_stats().blocks, 0u);
}

TEST_F(TrustedPrefixLocatorTest, NewEpochEndsTrust) {
  trust_.versions["worker/w"] = MakeVersion(101, 0);
  EXPECT_EQ(CountHolders(shared_), 0u);
}

TEST_F(TrustedPrefixLocatorTest, NewRevisionEndsTrust) {
  trust_.versions["model/m"] = MakeVersion(4, 0);
  EXPECT_EQ(CountHolders(shared_), 0u);
  locator_.OnObjectChanged("model/m");
  EXPECT_EQ(locator_.index_stats().blocks, 0u);
}

TEST_F(TrustedPrefixLocatorTest, NewIsolationGenerationEndsTrust) {
  trust_.versions["tenant/"] = MakeVersion(20, 0);
  EXPECT_EQ(CountHolders(shared_), 0u);
}

// Where dispatches carry revision and salt, entries of workers that a rollout has not reached stay
// useful.
class RetainedRevisionsTest : public TrustedPrefixLocatorTest {
 protected:
  RetainedRevisionsTest() { locator_.RecordDispatch(shared_, chain_, "w", 100); }
  void NewRevision(uint64_t revision) {
    trust_.versions["model/m"] = MakeVersion(revision, 0);
    locator_.OnObjectChanged("model/m");
  }
  size_t CountHolders(const BlockSeed& seed) { return locator_.Locate(seed, chain_).size(); }

  TrustedPrefixLocator locator_{
      {.budget_bytes = 1 << 20, .has_session_lease = {}, .retained_revisions = 2}, &trust_};
};

TEST_F(RetainedRevisionsTest, OlderRevisionsStayTrusted) {
  NewRevision(4);
  ASSERT_EQ(CountHolders(shared_), 1u);
  EXPECT_EQ(locator_.Locate(shared_, chain_)[0].model_revision, 3u);
  EXPECT_EQ(CountHolders({"m", 4, "", 8}), 0u);
  locator_.RecordDispatch(shared_, {21, 22}, "w", 100);  // a worker that still serves 3
  EXPECT_EQ(locator_.Locate(shared_, {21, 22}).size(), 1u);
}

TEST_F(RetainedRevisionsTest, RevisionsBeyondRetentionAreDropped) {
  NewRevision(4);
  locator_.RecordDispatch({"m", 4, "", 8}, chain_, "w", 100);
  NewRevision(7);
  EXPECT_EQ(CountHolders(shared_), 0u);
  EXPECT_EQ(CountHolders({"m", 4, "", 8}), 1u);
  locator_.RecordDispatch(shared_, chain_, "w", 100);
  EXPECT_EQ(CountHolders(shared_), 0u);
}

TEST_F(RetainedRevisionsTest, OlderRevisionsDependOnModelChannel) {
  NewRevision(4);
  trust_.timed_out = true;
  EXPECT_EQ(CountHolders(shared_), 0u);
  trust_.timed_out = false;
  EXPECT_EQ(CountHolders(shared_), 1u);
}

TEST_F(RetainedRevisionsTest, UnannouncedRevisionIsNotTrusted) {
  EXPECT_EQ(CountHolders({"m", 5, "", 8}), 0u);
  locator_.RecordDispatch({"m", 5, "", 8}, chain_, "w", 100);
  EXPECT_EQ(CountHolders({"m", 5, "", 8}), 0u);
}

// Block hashes already differ between seeds; comparing seeds also guards against collisions.
TEST_F(TrustedPrefixLocatorTest, OtherSeedNeverMatches) {
  EXPECT_EQ(CountHolders({"m", 3, "t", 9}), 0u);
  EXPECT_EQ(CountHolders({"m", 3, "", 7}), 0u);
  EXPECT_EQ(CountHolders({"m", 2, "", 8}), 0u);
}

TEST_F(TrustedPrefixLocatorTest, FindsNothingWithoutLease) {
  has_session_lease_ = false;
  EXPECT_EQ(CountHolders(shared_), 0u);
}

TEST_F(TrustedPrefixLocatorTest, RecordsOnlyAtVersionOfDispatch) {
  const std::vector<BlockHash> other = {21, 22};
  std::map<std::string, uint64_t> reported;
  locator_.SetEpochObserver([&reported](HolderKind, const std::string& holder, uint64_t epoch) {
    reported[holder] = epoch;
  });
  locator_.RecordDispatch(shared_, other, "w", 99);  // delayed, of a previous incarnation
  EXPECT_TRUE(reported.empty());
  locator_.RecordDispatch(shared_, other, "w", 101);  // newer than what is known
  EXPECT_EQ(reported["w"], 101u);
  locator_.RecordDispatch({"m", 2, "", 8}, other, "w", 100);
  locator_.RecordDispatch({"m", 3, "t", 8}, other, "w", 100);
  locator_.RecordDispatch(shared_, other, "unknown", 100);
  trust_.timed_out = true;
  locator_.RecordDispatch(shared_, other, "w", 100);
  trust_.timed_out = false;
  EXPECT_EQ(locator_.index_stats().blocks, 3u);
  EXPECT_EQ(locator_.stats().dispatches_not_recorded, 6u);
}

TEST_F(TrustedPrefixLocatorTest, RemovesAndDropsOneHolder) {
  trust_.versions["worker/v"] = MakeVersion(7, 0);
  locator_.RecordDispatch(shared_, chain_, "v", 7);
  locator_.Remove(HolderKind::kWorker, "w", {{12, 13}});
  const auto holders = locator_.Locate(shared_, chain_);
  ASSERT_EQ(holders.size(), 2u);
  EXPECT_EQ(holders[0].backend_id, "v");
  EXPECT_EQ(holders[1].blocks, 1u);
  locator_.DropHolder(HolderKind::kWorker, "v");
  EXPECT_EQ(CountHolders(shared_), 1u);
}

}  // namespace
}  // namespace posthatch::index
