#include "posthatch/rollout/rollout_pace.h"

#include <algorithm>
#include <cmath>

namespace posthatch::rollout {
namespace {

// Below it a measured duration says nothing: commands and polls take as long.
constexpr runtime::Duration kMinLoadDuration = std::chrono::milliseconds(500);

size_t OrdinaryPace(const RolloutPaceOptions& options, size_t workers) {
  const auto loading =
      static_cast<size_t>(std::floor(static_cast<double>(workers) * options.max_loading_fraction));
  return 2 * std::max<size_t>(loading, 1);
}

// With so many places, each free again after one load, the last worker starts within `time_left`
// less the reserve.
size_t PaceForDeadline(const RolloutPaceOptions& options, const RolloutStanding& standing) {
  const size_t unfinished = standing.outdated + standing.in_progress;
  const runtime::Duration time_to_start = standing.time_left - options.reserve;
  if (time_to_start <= runtime::Duration::zero()) return unfinished;
  const double load_ms =
      runtime::ToMilliseconds(std::max(standing.load_duration, kMinLoadDuration));
  const double turns = 1 + runtime::ToMilliseconds(time_to_start) / load_ms;
  return static_cast<size_t>(std::ceil(static_cast<double>(unfinished) / turns));
}

}  // namespace

size_t MaxWorkersInProgress(const RolloutPaceOptions& options, const RolloutStanding& standing) {
  const size_t ordinary = OrdinaryPace(options, standing.workers);
  const size_t needed = PaceForDeadline(options, standing);
  if (needed > ordinary) return needed;
  return standing.is_proven ? ordinary : 1;
}

}  // namespace posthatch::rollout
