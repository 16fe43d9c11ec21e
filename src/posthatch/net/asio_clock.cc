#include "posthatch/net/asio_clock.h"

#include <chrono>

#include "posthatch/net/asio_types.h"

namespace posthatch::net {

runtime::MonotonicTime AsioClock::Now() const { return BootNow(); }

int64_t AsioClock::WallNanoseconds() const {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::nanoseconds>(since_epoch).count();
}

}  // namespace posthatch::net
