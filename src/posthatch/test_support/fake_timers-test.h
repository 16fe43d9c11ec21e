#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "posthatch/runtime/clock.h"
#include "posthatch/runtime/timer_service.h"

// Fakes shared by the tests of several components. Not linked into any program.
namespace posthatch::test_support {

// A clock that advances only when the test lets it.
class FakeClock : public runtime::Clock {
 public:
  explicit FakeClock(runtime::MonotonicTime start = runtime::MonotonicTime(std::chrono::hours(1)))
      : now(start) {}
  runtime::MonotonicTime Now() const override { return now; }
  int64_t WallNanoseconds() const override { return wall; }

  runtime::MonotonicTime now;
  int64_t wall = 0;
};

// Timers that run while the test advances the clock.
class FakeTimers : public runtime::TimerService {
 public:
  // `clock` outlives the timers.
  explicit FakeTimers(FakeClock* clock) : clock_(clock) {}

  runtime::TimerId Schedule(runtime::Duration delay, std::function<void()> callback) override {
    timers_[{clock_->now + delay, ++last_id_}] = std::move(callback);
    return last_id_;
  }
  void Cancel(runtime::TimerId timer_id) override {
    std::erase_if(timers_,
                  [timer_id](const auto& timer) { return timer.first.second == timer_id; });
  }
  // Advances the clock by `duration` and runs the timers that are due, in order.
  void Advance(runtime::Duration duration) {
    const runtime::MonotonicTime end = clock_->now + duration;
    while (!timers_.empty() && timers_.begin()->first.first <= end) {
      auto timer = timers_.extract(timers_.begin());
      clock_->now = std::max(clock_->now, timer.key().first);
      timer.mapped()();
    }
    clock_->now = end;
  }
  // Advances the clock without running timers, as in a process that was stopped and
  // continued.
  void Freeze(runtime::Duration duration) { clock_->now += duration; }

 private:
  FakeClock* const clock_;
  std::map<std::pair<runtime::MonotonicTime, runtime::TimerId>, std::function<void()>> timers_;
  runtime::TimerId last_id_ = 0;
};

}  // namespace posthatch::test_support
