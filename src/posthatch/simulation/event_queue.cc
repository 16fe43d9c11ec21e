#include "posthatch/simulation/event_queue.h"

#include <algorithm>
#include <utility>

namespace posthatch::simulation {

bool EventQueue::Later(const HeapEntry& left, const HeapEntry& right) {
  if (left.time != right.time) return left.time > right.time;
  return left.sequence > right.sequence;
}

EventId EventQueue::ScheduleAt(runtime::MonotonicTime time, Callback callback) {
  uint32_t slot = 0;
  if (free_slots_.empty()) {
    slot = static_cast<uint32_t>(slots_.size());
    slots_.emplace_back();
  } else {
    slot = free_slots_.back();
    free_slots_.pop_back();
  }
  slots_[slot].callback = std::move(callback);
  const uint32_t generation = slots_[slot].generation;
  heap_.push_back(
      HeapEntry{runtime::ToNanoseconds(std::max(time, now_)), next_sequence_++, slot, generation});
  std::push_heap(heap_.begin(), heap_.end(), Later);
  return (static_cast<uint64_t>(slot) << 32) | generation;
}

void EventQueue::Cancel(EventId event_id) {
  const auto slot = static_cast<uint32_t>(event_id >> 32);
  const auto generation = static_cast<uint32_t>(event_id);
  if (slot >= slots_.size() || slots_[slot].generation != generation) return;
  // The callback is destroyed last: its captures may cancel or schedule other events.
  Callback callback = std::move(slots_[slot].callback);
  Release(slot);
}

void EventQueue::Release(uint32_t slot) {
  slots_[slot].callback = nullptr;
  if (++slots_[slot].generation == 0) slots_[slot].generation = 1;
  free_slots_.push_back(slot);
}

bool EventQueue::RunNext(runtime::MonotonicTime limit) {
  while (!heap_.empty() && heap_.front().time <= runtime::ToNanoseconds(limit)) {
    const HeapEntry entry = heap_.front();
    std::pop_heap(heap_.begin(), heap_.end(), Later);
    heap_.pop_back();
    if (slots_[entry.slot].generation != entry.generation) continue;
    now_ = runtime::FromNanoseconds(entry.time);
    Callback callback = std::move(slots_[entry.slot].callback);
    Release(entry.slot);
    callback();
    return true;
  }
  now_ = std::max(now_, limit);
  return false;
}

void EventQueue::Clear() {
  heap_.clear();
  // Destroying a callback may schedule or cancel events, so all slots must stay valid meanwhile.
  // Indices instead of a range-based loop: slots_ may grow during the loop.
  // NOLINTNEXTLINE(modernize-loop-convert)
  for (size_t slot = 0; slot < slots_.size(); ++slot) {
    const Callback callback = std::move(slots_[slot].callback);
    slots_[slot].callback = nullptr;
  }
}

}  // namespace posthatch::simulation
