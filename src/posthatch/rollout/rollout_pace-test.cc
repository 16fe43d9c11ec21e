#include "posthatch/rollout/rollout_pace.h"

#include <gtest/gtest.h>

namespace posthatch::rollout {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

RolloutState MakeState(size_t outdated, runtime::Duration time_left,
                       runtime::Duration load_duration) {
  RolloutState state;
  state.workers = 18;
  state.times_left.assign(outdated, time_left);
  state.is_proven = true;
  state.load_duration = load_duration;
  return state;
}

TEST(RolloutPaceTest, DefaultConcurrencyWhileTimeRemains) {
  EXPECT_EQ(MaxWorkersInProgress({}, MakeState(17, seconds(10), seconds(2))), 6U);
}

TEST(RolloutPaceTest, UnprovenRevisionGoesToOneWorker) {
  RolloutState state = MakeState(18, seconds(12), seconds(0));
  state.is_proven = false;
  EXPECT_EQ(MaxWorkersInProgress({}, state), 1U);
}

// Incident 34: with workers that load slowly the last ones were commanded past the deadline.
TEST(RolloutPaceTest, RisesWhenLoadsAreSlow) {
  // Time for two batches: one immediately, one when the first loads have ended.
  EXPECT_EQ(MaxWorkersInProgress({}, MakeState(16, milliseconds(6500), seconds(4))), 8U);
}

TEST(RolloutPaceTest, OverdueWorkersNeedNoSlot) {
  EXPECT_FALSE(IsOverdue({}, milliseconds(2501)));
  EXPECT_TRUE(IsOverdue({}, milliseconds(2500)));
  EXPECT_TRUE(IsOverdue({}, seconds(-5)));
}

// Workers two revisions behind have an earlier deadline, which must not raise the concurrency of
// the others.
TEST(RolloutPaceTest, FewUrgentWorkersDontRaiseConcurrency) {
  RolloutState state = MakeState(14, seconds(11), seconds(2));
  state.times_left.insert(state.times_left.end(), 3, milliseconds(3000));
  EXPECT_EQ(MaxWorkersInProgress({}, state), 6U);
}

// Incident 34: a canary that never finished blocked all other workers.
TEST(RolloutPaceTest, DoesNotWaitForStuckCanaryNearDeadline) {
  RolloutState state = MakeState(17, seconds(7), seconds(5));
  state.occupied_slots = 1;
  state.is_proven = false;
  EXPECT_GT(MaxWorkersInProgress({}, state), 6U);
}

// With any load duration, the limits must let every worker start in time.
TEST(RolloutPaceTest, StartsEveryWorkerInTimeWithAnyLoadDuration) {
  for (size_t workers = 1; workers <= 300; workers += 13) {
    for (int load_ms = 100; load_ms <= 20000; load_ms += 700) {
      const runtime::Duration load = milliseconds(load_ms);
      runtime::Duration time_left = seconds(12);
      std::vector<runtime::Duration> ends;  // time left when a started load ends
      size_t outdated = workers;
      while (outdated > 0 && time_left > runtime::Duration::zero()) {
        std::erase_if(ends, [&](runtime::Duration end) { return end >= time_left; });
        RolloutState state = MakeState(outdated, time_left, load);
        state.workers = workers;
        state.occupied_slots = ends.size();
        const size_t slots = IsOverdue({}, time_left) ? workers : MaxWorkersInProgress({}, state);
        for (; ends.size() < slots && outdated > 0; --outdated) ends.push_back(time_left - load);
        time_left -= milliseconds(50);
      }
      EXPECT_EQ(outdated, 0U) << workers << " workers, " << load_ms << " ms a load";
      EXPECT_GE(time_left, milliseconds(2400))
          << workers << " workers, " << load_ms << " ms a load";
    }
  }
}

}  // namespace
}  // namespace posthatch::rollout
