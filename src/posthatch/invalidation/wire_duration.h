#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "posthatch/runtime/clock.h"

// Durations as the channels' messages carry them: whole milliseconds, never negative.
namespace posthatch::invalidation {

inline uint32_t ToWireMilliseconds(runtime::Duration duration) {
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  return static_cast<uint32_t>(std::max<int64_t>(milliseconds, 0));
}

inline runtime::Duration FromWireMilliseconds(uint32_t milliseconds) {
  return std::chrono::milliseconds(milliseconds);
}

}  // namespace posthatch::invalidation
