#pragma once

#include <cstddef>

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

// How a model's roll-out stands.
struct RolloutStanding {
  size_t workers = 0;                  // all of the model
  size_t in_progress = 0;              // announced or commanded, and not given up as stuck
  size_t outdated = 0;                 // not started yet
  bool is_proven = false;              // some worker serves the target revision
  runtime::Duration time_left{0};      // to the deadline of the oldest revision among them
  runtime::Duration load_duration{0};  // from the first command to the end, as seen so far
};

// How many workers may be in progress at one time: one while the revision is unproven, then a
// fraction of all, and more once that pace would not start the last worker in time. Stateless; any
// thread.
size_t MaxWorkersInProgress(const RolloutPaceOptions& options, const RolloutStanding& standing);

}  // namespace posthatch::rollout
