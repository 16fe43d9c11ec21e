#pragma once

#include <cstdint>
#include <deque>

#include "posthatch/runtime/clock.h"

namespace posthatch::consensus {

// Tracks the duration of the log's disk syncs, so that a leader with a slow disk transfers its
// leadership. Owned by RaftReplica; not thread-safe.
class DiskHealth {
 public:
  // The disk is slow once the 95th percentile exceeds `threshold` for `min_slow_duration`.
  DiskHealth(runtime::Duration threshold, runtime::Duration min_slow_duration)
      : threshold_(threshold), min_slow_duration_(min_slow_duration) {}

  void OnSync(runtime::Duration sync_duration, runtime::MonotonicTime now);
  // Must be called regularly; `in_flight` is the time the write in flight has taken so far.
  void Update(runtime::Duration in_flight, runtime::MonotonicTime now);
  // 95th percentile of the writes of the last 3 s (at most the newest 1,000), or the time of the
  // write in flight if that is longer. Zero if there was no write.
  runtime::Duration p95() const { return p95_; }
  bool IsSlow(runtime::MonotonicTime now) const {
    return slow_ && now - slow_since_ >= min_slow_duration_;
  }

 private:
  struct Sample {
    runtime::MonotonicTime at;
    runtime::Duration sync_duration;
  };
  const runtime::Duration threshold_;
  const runtime::Duration min_slow_duration_;
  std::deque<Sample> samples_;
  runtime::Duration p95_{0};
  bool slow_ = false;
  runtime::MonotonicTime slow_since_;
};

}  // namespace posthatch::consensus
