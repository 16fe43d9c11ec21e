#include "posthatch/routing/prefill_rate.h"

#include <algorithm>

namespace posthatch::routing {
namespace {

// Bounds of the rate, in tokens per millisecond.
constexpr double kMinPrefillRate = 5;
constexpr double kMaxPrefillRate = 400;
constexpr uint64_t kMinTokensToMeasure = 3000;
// Factors by which the rate moves towards a measurement, regardless of its distance, which makes
// the rate a running median. The first steps are larger.
constexpr double kInitialRateStep = 1.1;
constexpr double kRateStep = 1.02;
constexpr uint32_t kInitialMeasurements = 20;

}  // namespace

void PrefillRate::Record(uint64_t tokens, runtime::Duration elapsed) {
  const double milliseconds = runtime::ToMilliseconds(elapsed);
  if (tokens < kMinTokensToMeasure || milliseconds <= 0) return;
  const double measured = static_cast<double>(tokens) / milliseconds;
  const double step = measurements_ < kInitialMeasurements ? kInitialRateStep : kRateStep;
  ++measurements_;
  rate_ =
      std::clamp(measured > rate_ ? rate_ * step : rate_ / step, kMinPrefillRate, kMaxPrefillRate);
}

}  // namespace posthatch::routing
