#pragma once

#include <cstdint>
#include <functional>
#include <utility>

#include "posthatch/runtime/clock.h"

namespace posthatch::gateway {

// The number of gateways that share fleet-wide limits, cached for kRefreshInterval because limits
// are computed many times per request. Event loop thread only.
class LiveGatewayCount {
 public:
  static constexpr runtime::Duration kRefreshInterval = std::chrono::milliseconds(500);

  LiveGatewayCount(const runtime::Clock* clock, std::function<uint32_t()> source)
      : clock_(clock), source_(std::move(source)) {}

  // Returns the count, which is at least 1.
  uint32_t Get() {
    const runtime::MonotonicTime now = clock_->Now();
    if (count_ == 0 || now - refreshed_at_ >= kRefreshInterval) {
      count_ = source_ ? source_() : 1;
      if (count_ == 0) count_ = 1;
      refreshed_at_ = now;
    }
    return count_;
  }

 private:
  const runtime::Clock* const clock_;
  const std::function<uint32_t()> source_;
  uint32_t count_ = 0;
  runtime::MonotonicTime refreshed_at_;
};

}  // namespace posthatch::gateway
