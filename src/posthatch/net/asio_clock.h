#pragma once

#include "posthatch/runtime/clock.h"

namespace posthatch::net {

// The machine's clocks: CLOCK_BOOTTIME and CLOCK_REALTIME. Any thread.
class AsioClock : public runtime::Clock {
 public:
  runtime::MonotonicTime Now() const override;
  int64_t WallNanoseconds() const override;
};

}  // namespace posthatch::net
