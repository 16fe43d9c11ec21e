#include "posthatch/control/admin/arrival_estimator.h"

namespace posthatch::control {
namespace {

// Pauses that are remembered; a request is handled soon after its connection was accepted, or its
// connection is so old that nothing is concluded from it.
constexpr size_t kMaxPauses = 64;

}  // namespace

ArrivalEstimator::ArrivalEstimator(runtime::Runtime* runtime, ArrivalEstimatorOptions options)
    : runtime_(runtime),
      options_(options),
      detector_(runtime->clock, options.pause_threshold,
                [this](runtime::Duration gap) { RecordPause(gap); }),
      check_timer_(runtime->timers) {
  detector_.Start();
  ScheduleCheck();
}

void ArrivalEstimator::ScheduleCheck() {
  check_timer_.Start(options_.check_interval, [this] {
    detector_.OnActivity();
    ScheduleCheck();
  });
}

void ArrivalEstimator::RecordPause(runtime::Duration gap) {
  const runtime::MonotonicTime now = runtime_->clock->Now();
  const Pause pause{now - gap, now + options_.accept_time};
  if (!pauses_.empty() && pause.began <= pauses_.back().accepted_by) {
    // The process didn't run long enough to accept everything that waited since the earlier pause.
    pauses_.back().accepted_by = pause.accepted_by;
    return;
  }
  pauses_.push_back(pause);
  if (pauses_.size() > kMaxPauses) pauses_.pop_front();
}

Arrival ArrivalEstimator::Estimate(runtime::MonotonicTime sent_after) {
  // After a thaw the request may be handled before the timer fires.
  detector_.OnActivity();
  if (pauses_.empty()) return {sent_after, false};
  // Whatever waited during the last pause has been read by the end of its accept time.
  const Pause& last = pauses_.back();
  const bool may_have_waited = runtime_->clock->Now() <= last.accepted_by;
  for (const Pause& pause : pauses_) {
    if (sent_after >= pause.began && sent_after <= pause.accepted_by) {
      return {pause.began, may_have_waited};
    }
  }
  return {sent_after, may_have_waited && sent_after <= last.began};
}

}  // namespace posthatch::control
