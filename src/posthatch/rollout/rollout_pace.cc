#include "posthatch/rollout/rollout_pace.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace posthatch::rollout {
namespace {

// Shorter measured durations are rounded up to this: commands and polls alone take as long.
constexpr runtime::Duration kMinLoadDuration = std::chrono::milliseconds(500);

size_t OrdinaryPace(const RolloutPaceOptions& options, size_t workers) {
  const auto loading =
      static_cast<size_t>(std::floor(static_cast<double>(workers) * options.max_loading_fraction));
  return 2 * std::max<size_t>(loading, 1);
}

// Number of slots with which `workers` workers can all be started within `time_to_start`, if each
// slot becomes free after one load.
size_t PlacesNeeded(size_t workers, runtime::Duration time_to_start, double load_ms) {
  const double turns = 1 + runtime::ToMilliseconds(time_to_start) / load_ms;
  return static_cast<size_t>(std::ceil(static_cast<double>(workers) / turns));
}

// Maximum over all deadlines of the slots needed by the workers due by then.
size_t PaceForDeadlines(const RolloutPaceOptions& options, RolloutStanding standing) {
  std::sort(standing.times_left.begin(), standing.times_left.end());
  const double load_ms =
      runtime::ToMilliseconds(std::max(standing.load_duration, kMinLoadDuration));
  size_t unfinished = standing.places_occupied;
  size_t needed = 0;
  for (const runtime::Duration time_left : standing.times_left) {
    ++unfinished;
    needed = std::max(needed, PlacesNeeded(unfinished, time_left - options.reserve, load_ms));
  }
  return needed;
}

}  // namespace

bool IsOverdue(const RolloutPaceOptions& options, runtime::Duration time_left) {
  return time_left <= options.reserve;
}

size_t MaxWorkersInProgress(const RolloutPaceOptions& options, RolloutStanding standing) {
  const size_t ordinary = OrdinaryPace(options, standing.workers);
  const bool is_proven = standing.is_proven;
  const size_t needed = PaceForDeadlines(options, std::move(standing));
  if (needed > ordinary) return needed;
  return is_proven ? ordinary : 1;
}

}  // namespace posthatch::rollout
