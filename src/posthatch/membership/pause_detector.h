#pragma once

#include <functional>
#include <utility>

#include "posthatch/runtime/clock.h"

namespace posthatch::membership {

// Detects that this process was stopped (frozen, or on a suspended machine) by the gap between two
// of its callbacks. Owned by GossipMembership; event loop thread only.
class PauseDetector {
 public:
  // Callback after a pause, with the length of the gap.
  using Listener = std::function<void(runtime::Duration gap)>;

  // A gap of `threshold` or more counts as a pause. `clock` must outlive this object.
  PauseDetector(const runtime::Clock* clock, runtime::Duration threshold, Listener listener)
      : clock_(clock), threshold_(threshold), listener_(std::move(listener)) {}

  // Starts to measure gaps from now on.
  void Start() { last_activity_ = clock_->Now(); }
  // Must be called first in every callback, before elapsed time is evaluated.
  void OnActivity() {
    const runtime::MonotonicTime now = clock_->Now();
    const runtime::Duration gap = now - last_activity_;
    last_activity_ = now;
    if (gap >= threshold_) listener_(gap);
  }

 private:
  const runtime::Clock* const clock_;
  const runtime::Duration threshold_;
  const Listener listener_;
  runtime::MonotonicTime last_activity_{};
};

}  // namespace posthatch::membership
