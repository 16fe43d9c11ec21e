#include "posthatch/control/admin/evacuation_proposer.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "posthatch/control/state/commands-test.h"
#include "posthatch/test_support/fake_timers-test.h"
#include "posthatch/test_support/fake_trace-test.h"
#include "posthatch/test_support/fake_writer-test.h"

namespace posthatch::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test_support::FakeClock;
using test_support::FakeTimers;
using test_support::FakeTrace;
using test_support::FakeWriter;

// The leader: applies commands to its own set `delay` after they were proposed.
class FakeLeader : public ControlClient {
 public:
  explicit FakeLeader(runtime::TimerService* timers) : timers_(timers) {}

  void Propose(Command command, runtime::Duration, bool until_in_force, ProposeDone done) override {
    EXPECT_FALSE(until_in_force);
    ++proposals;
    timers_->Schedule(delay, [this, command = std::move(command), done = std::move(done)] {
      done(evacuations.Apply(++log_index, command.set_evacuation()));
    });
  }
  // An order that reached the leader through another controller.
  void ApplyElsewhere(bool lifted) {
    SetEvacuation order = EvacuationChange("", "z1", "z1", lifted).set_evacuation();
    order.set_expected_version(evacuations.VersionOf("z1"));
    evacuations.Apply(++log_index, order);
  }

  EvacuationSet evacuations;
  uint64_t log_index = 10;
  int proposals = 0;
  runtime::Duration delay = milliseconds(5);

 private:
  runtime::TimerService* const timers_;
};

class EvacuationProposerTest : public testing::Test {
 protected:
  struct Call {
    std::shared_ptr<FakeWriter> writer = std::make_shared<FakeWriter>();
    std::optional<absl::StatusOr<CommandResult>> result;
    bool Ok() const {
      return result.has_value() && result->ok() &&
             ((*result)->code() == CommandResult::OK ||
              (*result)->code() == CommandResult::NOT_FOUND);
    }
    bool Late() const { return result.has_value() && absl::IsAborted(result->status()); }
  };

  EvacuationProposerTest() {
    runtime_.clock = &clock_;
    runtime_.timers = &timers_;
    runtime_.trace = &trace_;
    runtime_.metrics = &metrics_;
    arrivals_.emplace(&runtime_, ArrivalEstimatorOptions());
    proposer_.emplace(&runtime_, EvacuationProposerOptions(), &local_, &*arrivals_, &leader_);
  }

  // This controller applies what the leader has committed.
  void CatchUp() {
    ControlSnapshot snapshot;
    leader_.evacuations.Save(snapshot.mutable_fleet()->mutable_evacuations());
    leader_.evacuations.SaveVersions(&snapshot);
    local_.Restore(snapshot);
    proposer_->OnStateChanged();
  }
  std::shared_ptr<Call> Send(bool lifted, runtime::MonotonicTime sent_after) {
    auto call = std::make_shared<Call>();
    http::Request request;
    request.sent_after = sent_after;
    proposer_->Propose(
        EvacuationChange("r", "z1", "z1", lifted), request, call->writer,
        [call](const absl::StatusOr<CommandResult>& result) { call->result = result; });
    return call;
  }
  runtime::MonotonicTime now() const { return clock_.now; }

  FakeClock clock_;
  FakeTimers timers_{&clock_};
  FakeTrace trace_;
  prometheus::Registry metrics_;
  runtime::Runtime runtime_;
  FakeLeader leader_{&timers_};
  EvacuationSet local_;
  std::optional<ArrivalEstimator> arrivals_;
  std::optional<EvacuationProposer> proposer_;
};

TEST_F(EvacuationProposerTest, FreshOrderIsAppliedAtOnce) {
  const auto call = Send(false, now());
  timers_.Advance(milliseconds(10));
  EXPECT_TRUE(call->Ok());
  EXPECT_EQ(leader_.proposals, 1);
}

TEST_F(EvacuationProposerTest, FollowerThatLagsTakesFreshOrderAtOnce) {
  leader_.ApplyElsewhere(false);
  leader_.ApplyElsewhere(true);
  const auto call = Send(false, now());
  timers_.Advance(milliseconds(20));
  EXPECT_TRUE(call->Ok());
  EXPECT_EQ(leader_.proposals, 2);
}

// A thawed process may apply the later order before it reads the late call, whose connection it
// accepts only now.
TEST_F(EvacuationProposerTest, CallReadAfterThawIsLateEvenIfStateIsNewest) {
  CatchUp();
  timers_.Advance(seconds(5));
  timers_.Freeze(seconds(4));
  leader_.ApplyElsewhere(false);
  CatchUp();
  const auto late = Send(true, now());
  timers_.Advance(seconds(3));
  EXPECT_TRUE(late->Late());
  EXPECT_EQ(leader_.proposals, 0);
  EXPECT_EQ(trace_.events.back(), "LateEvacuationOrderRejected");
}

TEST_F(EvacuationProposerTest, CallReadAfterThawIsLateIfLeaderHasLaterOrder) {
  CatchUp();
  timers_.Advance(seconds(5));
  timers_.Freeze(seconds(4));
  leader_.ApplyElsewhere(false);
  const auto late = Send(true, now());
  timers_.Advance(seconds(3));
  EXPECT_TRUE(late->Late());
}

// Nothing happened meanwhile: whether late or not, the call may be applied.
TEST_F(EvacuationProposerTest, CallReadAfterThawIsAppliedIfNoOtherWas) {
  leader_.ApplyElsewhere(false);
  CatchUp();
  timers_.Advance(seconds(5));
  timers_.Freeze(seconds(4));
  const auto call = Send(true, now());
  timers_.Advance(milliseconds(10));
  EXPECT_TRUE(call->Ok());
}

TEST_F(EvacuationProposerTest, CallIsTakenAgainSomeTimeAfterThaw) {
  CatchUp();
  timers_.Advance(seconds(5));
  timers_.Freeze(seconds(4));
  timers_.Advance(seconds(2));
  leader_.ApplyElsewhere(false);
  const auto call = Send(true, now());
  timers_.Advance(milliseconds(20));
  EXPECT_TRUE(call->Ok());
}

// A call on a persistent connection shows only that it was sent after the last response.
TEST_F(EvacuationProposerTest, CallOnIdleConnectionIsAppliedWhileCallerIsConnected) {
  CatchUp();
  const runtime::MonotonicTime last_response = now();
  timers_.Advance(seconds(20));
  leader_.ApplyElsewhere(false);
  CatchUp();
  const auto call = Send(true, last_response);
  timers_.Advance(milliseconds(300));
  EXPECT_TRUE(call->Ok());
}

TEST_F(EvacuationProposerTest, DelayedCallIsLateIfCallerHasLeft) {
  CatchUp();
  const runtime::MonotonicTime accepted = now();
  timers_.Advance(seconds(5));
  leader_.ApplyElsewhere(false);
  CatchUp();
  const auto late = Send(true, accepted);
  timers_.Advance(milliseconds(50));
  ASSERT_TRUE(late->writer->on_disconnect != nullptr);
  late->writer->on_disconnect();
  timers_.Advance(seconds(2));
  EXPECT_TRUE(late->Late());
  EXPECT_EQ(leader_.evacuations.VersionOf("z1"), 11U);
}

// Frozen while it waits for the end of the caller's connection, which may arrive after the thaw.
TEST_F(EvacuationProposerTest, FreezeWhileCallerIsCheckedMakesCallLate) {
  CatchUp();
  const runtime::MonotonicTime accepted = now();
  timers_.Advance(seconds(5));
  leader_.ApplyElsewhere(false);
  CatchUp();
  const auto late = Send(true, accepted);
  timers_.Advance(milliseconds(50));
  timers_.Freeze(seconds(4));
  timers_.Advance(seconds(2));
  EXPECT_TRUE(late->Late());
}

// Frozen, or without a leader, between the proposal and its result.
TEST_F(EvacuationProposerTest, SlowProposalIsNotAppliedAfterLaterOrder) {
  CatchUp();
  leader_.delay = milliseconds(1200);
  const auto late = Send(true, now());
  timers_.Advance(milliseconds(900));
  leader_.ApplyElsewhere(true);
  leader_.ApplyElsewhere(false);
  timers_.Advance(milliseconds(310));
  ASSERT_TRUE(late->writer->on_disconnect != nullptr);
  late->writer->on_disconnect();
  timers_.Advance(seconds(3));
  EXPECT_TRUE(late->Late());
  EXPECT_EQ(leader_.proposals, 1);
}

TEST_F(EvacuationProposerTest, OrderEndsInTimeWhileOthersFollowEachOther) {
  const runtime::MonotonicTime sent = now();
  const auto call = Send(true, sent);
  for (int i = 0; i < 1000 && !call->result.has_value(); ++i) {
    leader_.ApplyElsewhere(i % 2 == 0);
    timers_.Advance(milliseconds(4));
  }
  EXPECT_TRUE(call->result.has_value());
  EXPECT_LE(now() - sent, seconds(2));
}

}  // namespace
}  // namespace posthatch::control
