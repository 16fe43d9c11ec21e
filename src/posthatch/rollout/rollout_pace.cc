#include "posthatch/rollout/rollout_pace.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace posthatch::rollout {
namespace {

// Shorter measured durations are rounded up to this: commands and polls alone take as long.
constexpr runtime::Duration kMinLoadDuration = std::chrono::milliseconds(500);

size_t DefaultConcurrency(const RolloutPaceOptions& options, size_t workers) {
  const auto loading =
      static_cast<size_t>(std::floor(static_cast<double>(workers) * options.max_loading_fraction));
  return 2 * std::max<size_t>(loading, 1);
}

// Number of slots with which `workers` workers can all be started within `time_to_start`, if each
// slot becomes free after one load.
size_t SlotsNeeded(size_t workers, runtime::Duration time_to_start, double load_ms) {
  const double batches = 1 + runtime::ToMilliseconds(time_to_start) / load_ms;
  return static_cast<size_t>(std::ceil(static_cast<double>(workers) / batches));
}

// Maximum over all deadlines of the slots needed by the workers due by then.
size_t ConcurrencyForDeadlines(const RolloutPaceOptions& options, RolloutState state) {
  std::sort(state.times_left.begin(), state.times_left.end());
  const double load_ms = runtime::ToMilliseconds(std::max(state.load_duration, kMinLoadDuration));
  size_t unfinished = state.occupied_slots;
  size_t needed = 0;
  for (const runtime::Duration time_left : state.times_left) {
    ++unfinished;
    needed =
        std::max(needed, SlotsNeeded(unfinished, time_left - options.deadline_margin, load_ms));
  }
  return needed;
}

}  // namespace

bool IsOverdue(const RolloutPaceOptions& options, runtime::Duration time_left) {
  return time_left <= options.deadline_margin;
}

size_t MaxWorkersInProgress(const RolloutPaceOptions& options, RolloutState state) {
  const size_t default_concurrency = DefaultConcurrency(options, state.workers);
  const bool is_proven = state.is_proven;
  const size_t needed = ConcurrencyForDeadlines(options, std::move(state));
  if (needed > default_concurrency) return needed;
  return is_proven ? default_concurrency : 1;
}

}  // namespace posthatch::rollout
