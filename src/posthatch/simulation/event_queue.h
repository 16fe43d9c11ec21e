#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include "absl/functional/any_invocable.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::simulation {

using Callback = absl::AnyInvocable<void()>;

// Identifies one scheduled event; 0 is never a valid id.
using EventId = uint64_t;

// Priority queue of events in virtual time. Events with equal times run in scheduling order. A
// cancelled event's heap entry stays and is skipped when it is reached, as its generation is
// outdated. Owned by WorldCore; single-threaded.
class EventQueue {
 public:
  runtime::MonotonicTime now() const { return now_; }

  // Runs `callback` at `time`, or at the current time if that is later.
  EventId ScheduleAt(runtime::MonotonicTime time, Callback callback);
  EventId ScheduleAfter(runtime::Duration delay, Callback callback) {
    return ScheduleAt(now_ + delay, std::move(callback));
  }
  // Cancels the event; ids that have run or are unknown are ignored.
  void Cancel(EventId event_id);

  // Runs the next event if its time is not after `limit`, and returns whether one ran. If none is
  // left before `limit`, the time advances to `limit`.
  bool RunNext(runtime::MonotonicTime limit);
  // Drops all events; called when the world is destroyed.
  void Clear();

 private:
  struct HeapEntry {
    int64_t time;  // nanoseconds of virtual time
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
