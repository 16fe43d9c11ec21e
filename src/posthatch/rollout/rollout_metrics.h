#pragma once

#include <prometheus/registry.h>

#include <memory>

#include "posthatch/util/metrics.h"

namespace posthatch::rollout {

// Progress of the rollouts, summed over all models; the worker gauges are 0 unless this controller
// leads. Owned by RolloutCoordinator; event loop thread only.
class RolloutMetrics {
 public:
  // With a null registry the metrics are kept but not exposed.
  explicit RolloutMetrics(prometheus::Registry* registry)
      : unexposed_(registry == nullptr ? std::make_unique<prometheus::Registry>() : nullptr),
        outdated_(&util::AddGauge(Exposed(registry), "posthatch_rollout_outdated_workers",
                                  "Workers that serve an older model revision than the newest, "
                                  "excluding workers in progress")),
        in_progress_(&util::AddGauge(Exposed(registry), "posthatch_rollout_workers_in_progress",
                                     "Workers that are loading a model revision or are about to")),
        time_left_(&util::AddGauge(Exposed(registry), "posthatch_rollout_seconds_left",
                                   "Seconds to the deadline of the oldest revision that a worker "
                                   "serves; the full period while no worker is outdated")),
        finished_(&util::AddCounter(
            Exposed(registry), "posthatch_rollout_loads_finished_total",
            "Loads that ended with the worker serving the revision it was commanded to load")) {}

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
