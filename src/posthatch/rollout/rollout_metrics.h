#pragma once

#include <prometheus/registry.h>

#include <memory>

#include "posthatch/util/metrics.h"

namespace posthatch::rollout {

// How far the roll-outs of all models are; all 0 unless this controller leads. Owned by
// RolloutCoordinator; event loop thread only.
class RolloutMetrics {
 public:
  // With a null registry the metrics are kept but not exposed.
  explicit RolloutMetrics(prometheus::Registry* registry)
      : unexposed_(registry == nullptr ? std::make_unique<prometheus::Registry>() : nullptr),
        outdated_(&util::AddGauge(Exposed(registry), "posthatch_rollout_outdated_workers",
                                  "Workers with an older model revision than the newest named, "
                                  "without those in progress")),
        in_progress_(
            &util::AddGauge(Exposed(registry), "posthatch_rollout_workers_in_progress",
                            "Workers that are about to load a model revision, or load it")),
        time_left_(&util::AddGauge(Exposed(registry), "posthatch_rollout_seconds_left",
                                   "To the deadline of the oldest revision that a worker serves; "
                                   "the whole time while none is outdated")),
        finished_(
            &util::AddCounter(Exposed(registry), "posthatch_rollout_loads_finished_total",
                              "Workers that serve the revision they were commanded to load")) {}

  prometheus::Gauge& outdated() { return *outdated_; }
  prometheus::Gauge& in_progress() { return *in_progress_; }
  prometheus::Gauge& time_left() { return *time_left_; }
  prometheus::Counter& finished() { return *finished_; }

 private:
  prometheus::Registry* Exposed(prometheus::Registry* registry) {
    return registry == nullptr ? unexposed_.get() : registry;
  }

  const std::unique_ptr<prometheus::Registry> unexposed_;
  prometheus::Gauge* const outdated_;
  prometheus::Gauge* const in_progress_;
  prometheus::Gauge* const time_left_;
  prometheus::Counter* const finished_;
};

}  // namespace posthatch::rollout
