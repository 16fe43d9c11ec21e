#include "posthatch/consensus/pending_requests.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace posthatch::consensus {
namespace {

storage::LogEntry NewEntry(uint64_t index, uint64_t term) {
  storage::LogEntry entry;
  entry.set_index(index);
  entry.set_term(term);
  return entry;
}

class PendingRequestsTest : public testing::Test {
 protected:
  void AddProposal(uint64_t index, uint64_t term) {
    pending_.AddProposal(index, term, now_,
                         [this](const absl::StatusOr<std::string>& result) { result_ = result; });
  }

  const runtime::MonotonicTime now_{};
  ReplicaMetrics metrics_;  // not registered
  PendingRequests pending_{&metrics_};
  std::optional<absl::StatusOr<std::string>> result_;
};

TEST_F(PendingRequestsTest, ProposalGetsTheResultOfItsEntry) {
  AddProposal(5, 2);
  EXPECT_EQ(pending_.term(), 2U);
  pending_.OnApplied(NewEntry(4, 2), "other", now_);
  EXPECT_FALSE(result_.has_value());
  pending_.OnApplied(NewEntry(5, 2), "own", now_);
  ASSERT_TRUE(result_.has_value());
  EXPECT_EQ(**result_, "own");
}

TEST_F(PendingRequestsTest, ProposalIsAbortedWhenAnotherTermsEntryIsCommitted) {
  AddProposal(5, 2);
  pending_.OnApplied(NewEntry(5, 3), "other", now_);
  ASSERT_TRUE(result_.has_value());
  EXPECT_TRUE(absl::IsAborted(result_->status()));
}

TEST_F(PendingRequestsTest, ReadsCompleteById) {
  int completed = 0;
  for (uint64_t id = 1; id <= 3; ++id) {
    pending_.AddRead(
        id, 2, [&completed](const absl::Status& status) { completed += status.ok() ? 1 : 0; });
  }
  pending_.OnReadsConfirmed({1, 3, 4});
  EXPECT_EQ(completed, 2);
}

TEST_F(PendingRequestsTest, FailAllEndsEveryRequestOnceAndAllowsNewOnes) {
  AddProposal(5, 2);
  absl::Status read;
  pending_.AddRead(1, 2, [this, &read](const absl::Status& status) {
    read = status;
    AddProposal(9, 4);
  });
  pending_.FailAll(absl::AbortedError("leadership lost"));
  EXPECT_TRUE(absl::IsAborted(result_->status()));
  EXPECT_TRUE(absl::IsAborted(read));
  pending_.OnApplied(NewEntry(9, 4), "later", now_);
  EXPECT_EQ(**result_, "later");
}

}  // namespace
}  // namespace posthatch::consensus
