#pragma once

#include <cstddef>
#include <vector>

#include "posthatch/runtime/clock.h"

namespace posthatch::rollout {

struct RolloutPaceOptions {
  // Workers that load at one time, as a fraction of all workers of the model; twice as many may be
  // in progress, since a worker finishes its running requests first.
  double max_loading_fraction = 0.2;
  // The last worker is to be started so long before the deadline: it may take the command at the
  // second attempt, and prompts that it reads already have to get their first token.
  runtime::Duration reserve = std::chrono::milliseconds(2500);
};

// How a model's roll-out stands. Overdue workers (IsOverdue) are left out: they start at once.
struct RolloutStanding {
  size_t workers = 0;          // all of the model
  size_t places_occupied = 0;  // by workers in progress
  // Time to the deadline of each worker that has not been started.
  std::vector<runtime::Duration> times_left;
  bool is_proven = false;              // some worker serves the target revision
  runtime::Duration load_duration{0};  // from the first command to the end, as seen so far
};

// Whether a worker must be started whatever else is in progress. It can't serve much longer, so
// that waiting would save nothing.
bool IsOverdue(const RolloutPaceOptions& options, runtime::Duration time_left);

// How many workers may be in progress at one time, beside overdue ones: one while the revision is
// unproven, then a fraction of all, and more once that pace would not start each worker before it
// is overdue. Stateless; any thread.
size_t MaxWorkersInProgress(const RolloutPaceOptions& options, RolloutStanding standing);

}  // namespace posthatch::rollout
