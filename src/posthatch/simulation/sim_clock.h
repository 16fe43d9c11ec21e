#pragma once

#include "posthatch/runtime/clock.h"
#include "posthatch/simulation/event_queue.h"

namespace posthatch::simulation {

// A host's clocks. The monotonic clock is the world's time, equal on all hosts, and continues
// during a freeze; the wall clock starts at a fixed date and can be made to jump.
class SimClock : public runtime::Clock {
 public:
  explicit SimClock(const EventQueue* queue) : queue_(queue) {}

  runtime::MonotonicTime Now() const override { return queue_->now(); }
  int64_t WallNanoseconds() const override {
    return kWallStart + runtime::ToNanoseconds(queue_->now()) + wall_offset_.count();
  }
  void JumpWall(runtime::Duration delta) { wall_offset_ += delta; }

 private:
  static constexpr int64_t kWallStart = 1'800'000'000'000'000'000;  // Unix time, January 2027

  const EventQueue* const queue_;
  runtime::Duration wall_offset_{0};
};

}  // namespace posthatch::simulation
