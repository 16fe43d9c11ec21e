#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::routing {

struct RetryBudgetOptions {
  // Arrivals at workers beyond the first of each request that all gateways together may cause in
  // any `window`: this share of the requests, and `slack` beside it.
  double ratio = 0.2;
  double slack = 20;
  runtime::Duration window = std::chrono::seconds(10);
  // Part of both that is used: the rest covers gateways that count the fleet differently.
  double utilization = 0.6;
  // Live gateways of the fleet with this one.
  std::function<uint32_t()> live_gateways;
};

// This gateway's share of the fleet's retry budget, service by service. A retry is counted when it
// is sent. Event loop thread only.
class RetryBudget {
 public:
  RetryBudget(const runtime::Clock* clock, RetryBudgetOptions options)
      : clock_(clock), options_(std::move(options)) {}

  void CountRequest(const std::string& service);
  // Counts a retry if there is room for it; returns whether there was.
  bool TryRetry(const std::string& service);

 private:
  struct Window {
    std::deque<runtime::MonotonicTime> requests;
    std::deque<runtime::MonotonicTime> retries;
  };

  void DropExpired(Window* window) const;

  const runtime::Clock* const clock_;
  const RetryBudgetOptions options_;
  absl::flat_hash_map<std::string, Window> windows_;
};

}  // namespace posthatch::routing
