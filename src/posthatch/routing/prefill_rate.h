#pragma once

#include <cstdint>

#include "posthatch/runtime/clock.h"

namespace posthatch::routing {

// Measures how fast workers prefill, in tokens per millisecond: a running median, since some
// measurements include waiting time, and others are of prompts that were cached without the index
// knowing. Event loop thread only.
class PrefillRate {
 public:
  double tokens_per_ms() const { return rate_; }
  double MillisecondsFor(uint64_t tokens) const { return static_cast<double>(tokens) / rate_; }
  // The first event came `elapsed` after a dispatch that had `tokens` to prefill. Ignored if
  // `tokens` is too small for a measurement.
  void Record(uint64_t tokens, runtime::Duration elapsed);

 private:
  double rate_ = 30;
  uint32_t measurements_ = 0;
};

}  // namespace posthatch::routing
