#pragma once

#include <cstddef>
#include <vector>

#include "posthatch/runtime/clock.h"

namespace posthatch::rollout {

struct RolloutPaceOptions {
  // Maximum fraction of a model's workers that load at one time. Twice as many may be in progress,
  // since a worker finishes its running requests before it loads.
  double max_loading_fraction = 0.2;
  // Time before the deadline by which the last worker must be started. It leaves time for a second
  // attempt at the command, and for the first token of prompts already in prefill.
  runtime::Duration deadline_margin = std::chrono::milliseconds(2500);
};

// State of a model's rollout. Overdue workers (IsOverdue), which start immediately, are included
// only in `workers`.
struct RolloutState {
  size_t workers = 0;         // including finished ones
  size_t occupied_slots = 0;  // slots of workers in progress
  // Time to the deadline, for each worker that has not been started.
  std::vector<runtime::Duration> times_left;
  bool is_proven = false;  // some worker serves the target revision
  // Average time from a worker's first command to the end of its loading, or the elapsed time of
  // the longest load in progress if that is more.
  runtime::Duration load_duration{0};
};

// Whether a worker must be started regardless of how many are in progress. It can't serve much
// longer, so delaying it would save no capacity.
bool IsOverdue(const RolloutPaceOptions& options, runtime::Duration time_left);

// Maximum number of workers in progress at one time, not counting overdue ones: one while the
// revision is unproven, then a fraction of all, and more if that would not start each worker before
// it is overdue. Stateless; any thread.
size_t MaxWorkersInProgress(const RolloutPaceOptions& options, RolloutState state);

}  // namespace posthatch::rollout
