#pragma once

#include <cstdint>
#include <optional>

#include "absl/container/btree_map.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::index {

// Tracks the sequence numbers of one worker's events that have not arrived, and decides whether
// more events were lost than is tolerated. Owned by WorkerEventFeed; not thread-safe.
class MissingEvents {
 public:
  // `reorder_window`: how long a number may still arrive before it counts as lost.
  // `tolerated_share`: fraction of recent events that may be lost.
  MissingEvents(runtime::Duration reorder_window, double tolerated_share)
      : reorder_window_(reorder_window), tolerated_share_(tolerated_share) {}

  // Counts an event that has arrived.
  void CountEvent();
  // Records that the numbers `first` to `last` have not arrived. Returns false, and records
  // nothing, if they are so many that they count as lost at once.
  bool Add(uint64_t first, uint64_t last, runtime::MonotonicTime now);
  // Records that `seq` has arrived out of order; returns whether it was missing.
  bool Remove(uint64_t seq) { return lost_at_.erase(seq) > 0; }
  void RemoveUpTo(uint64_t seq) { lost_at_.erase(lost_at_.begin(), lost_at_.upper_bound(seq)); }
  void Clear() { lost_at_.clear(); }
  // Drops the numbers whose reorder window has passed, which count as lost; returns whether more
  // were lost than is tolerated.
  bool Expire(runtime::MonotonicTime now);
  // The time at which the next number counts as lost; nullopt if none is missing.
  std::optional<runtime::MonotonicTime> next_expiry() const;

 private:
  const runtime::Duration reorder_window_;
  const double tolerated_share_;
  absl::btree_map<uint64_t, runtime::MonotonicTime> lost_at_;  // keyed by sequence number
  double recent_events_ = 0;                                   // decaying count of events
  double recent_lost_ = 0;                                     // decaying count of lost events
};

}  // namespace posthatch::index
