#pragma once

#include <deque>

#include "posthatch/membership/pause_detector.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::control {

struct ArrivalEstimatorOptions {
  // Interval of the timer by which pauses of this process are noticed.
  runtime::Duration check_interval = std::chrono::milliseconds(100);
  // Gap between two checks that counts as a pause. A caller waits longer than this for a response.
  runtime::Duration pause_threshold = std::chrono::milliseconds(300);
  // Time after a pause until everything that waited meanwhile has been accepted and read.
  runtime::Duration accept_time = std::chrono::seconds(1);
};

// Estimate of when a caller sent a request.
struct Arrival {
  // The caller sent the request after this time, and before the process read it.
  runtime::MonotonicTime sent_after;
  // The request may have waited to be read while this process was stopped.
  bool may_have_waited = false;
};

// Bounds from below when a request was sent. http::Request::sent_after is such a bound only while
// the process runs: after a freeze it accepts connections, and reads requests, that are as old as
// the freeze. Owned by OperatorApi; event loop thread only.
class ArrivalEstimator {
 public:
  // `runtime` must outlive this object.
  ArrivalEstimator(runtime::Runtime* runtime, ArrivalEstimatorOptions options);

  // `sent_after` is that of a request that this process has read and not responded to.
  Arrival Estimate(runtime::MonotonicTime sent_after);

 private:
  // A connection that was accepted between `began` and `accepted_by` may have been made at any time
  // since `began`.
  struct Pause {
    runtime::MonotonicTime began;
    runtime::MonotonicTime accepted_by;
  };

  void ScheduleCheck();
  void RecordPause(runtime::Duration gap);

  runtime::Runtime* const runtime_;
  const ArrivalEstimatorOptions options_;
  membership::PauseDetector detector_;
  std::deque<Pause> pauses_;  // oldest first
  runtime::Timer check_timer_;
};

}  // namespace posthatch::control
