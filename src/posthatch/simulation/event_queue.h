#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include "absl/functional/any_invocable.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::simulation {

using Callback = absl::AnyInvocable<void()>;

// Names one scheduled event; 0 is never a valid id.
using EventId = uint64_t;

// Events in virtual time. Equal times run in the order of scheduling. Cancellation is by
// generation: the heap entry stays and is skipped when it is reached. Owned by WorldCore; single
// thread.
class EventQueue {
 public:
  runtime::MonotonicTime now() const { return now_; }

  // Runs `callback` at `time`, or now if that has passed.
  EventId ScheduleAt(runtime::MonotonicTime time, Callback callback);
  EventId ScheduleAfter(runtime::Duration delay, Callback callback) {
    return ScheduleAt(now_ + delay, std::move(callback));
  }
  // Forgets the event; ids that have run or are unknown are ignored.
  void Cancel(EventId event_id);

  // Runs the next event if its time is not after `limit`, and returns whether one ran. Time
  // stands at `limit` when none is left before it.
  bool RunNext(runtime::MonotonicTime limit);
  // Forgets all events; at the end of the world.
  void Clear();

 private:
  struct HeapEntry {
    int64_t time;
    uint64_t sequence;
    uint32_t slot;
    uint32_t generation;
  };
  struct Slot {
    uint32_t generation = 1;
    Callback callback;
  };
  static bool Later(const HeapEntry& left, const HeapEntry& right);
  void Release(uint32_t slot);

  runtime::MonotonicTime now_{};
  uint64_t next_sequence_ = 0;
  std::vector<HeapEntry> heap_;
  std::vector<Slot> slots_;
  std::vector<uint32_t> free_slots_;
};

}  // namespace posthatch::simulation
