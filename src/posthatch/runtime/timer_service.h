#pragma once

#include <cstdint>
#include <functional>
#include <utility>

#include "posthatch/runtime/clock.h"

namespace posthatch::runtime {

using TimerId = uint64_t;

// Runs callbacks on the owner's event loop thread. Not thread-safe.
class TimerService {
 public:
  virtual ~TimerService() = default;
  // Runs `callback` once, not before `delay` has passed. After a freeze it runs late: callbacks
  // check the clock instead of assuming that only `delay` has passed.
  virtual TimerId Schedule(Duration delay, std::function<void()> callback) = 0;
  // Cancels the timer; unknown and fired ids are ignored.
  virtual void Cancel(TimerId timer_id) = 0;
};

// A timer owned as a member: cancelled when destroyed or restarted.
class Timer {
 public:
  explicit Timer(TimerService* timers) : timers_(timers) {}
  ~Timer() { Cancel(); }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  void Start(Duration delay, std::function<void()> callback) {
    Cancel();
    timer_id_ = timers_->Schedule(delay, [this, callback = std::move(callback)] {
      timer_id_ = kNoTimer;
      callback();
    });
  }
  void Cancel() {
    if (timer_id_ != kNoTimer) timers_->Cancel(timer_id_);
    timer_id_ = kNoTimer;
  }
  bool running() const { return timer_id_ != kNoTimer; }

 private:
  static constexpr TimerId kNoTimer = 0;
  TimerService* const timers_;
  TimerId timer_id_ = kNoTimer;
};

}  // namespace posthatch::runtime
