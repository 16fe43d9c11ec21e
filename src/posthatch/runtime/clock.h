#pragma once

#include <chrono>
#include <cstdint>

namespace posthatch::runtime {

// Tag of the monotonic clock: never set back, and it continues counting while the machine is
// suspended or the process is stopped (CLOCK_BOOTTIME in real processes).
struct MonotonicClockTag {
  using rep = int64_t;
  using period = std::nano;
  using duration = std::chrono::nanoseconds;
  using time_point = std::chrono::time_point<MonotonicClockTag>;
};

using Duration = std::chrono::nanoseconds;
using MonotonicTime = MonotonicClockTag::time_point;

// Nanoseconds since the clock's (arbitrary) origin; the form in which times are sent between
// processes.
inline int64_t ToNanoseconds(MonotonicTime time) { return time.time_since_epoch().count(); }
inline MonotonicTime FromNanoseconds(int64_t nanoseconds) {
  return MonotonicTime(Duration(nanoseconds));
}
inline double ToMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

// Source of time. Every lease, freshness bound and timeout is measured with `Now()`;
// `WallNanoseconds()` may jump either way and is for logs and reports only.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual MonotonicTime Now() const = 0;
  // Nanoseconds since the Unix epoch. Never used for a decision.
  virtual int64_t WallNanoseconds() const = 0;
};

}  // namespace posthatch::runtime
