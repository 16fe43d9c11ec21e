#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::routing {

struct RetryBudgetOptions {
  // Bound on the dispatches beyond the first of each request that all gateways together may send in
  // any `window`: this fraction of the requests, plus `slack`.
  double ratio = 0.2;
  double slack = 20;
  runtime::Duration window = std::chrono::seconds(10);
  // Fraction of both that is used: the rest covers gateways that count the fleet differently.
  double utilization = 0.6;
  // Live gateways of the fleet with this one.
  std::function<uint32_t()> live_gateways;
};

// This gateway's share of the fleet's retry budget, service by service: the slack is divided among
// the live gateways. (gateway::RetryBudget is the budget of the other data plane; it has no slack
// and takes first attempts back.) Owned by TrafficGateway; event loop thread only.
class RetryBudget {
 public:
  RetryBudget(const runtime::Clock* clock, RetryBudgetOptions options)
      : clock_(clock), options_(std::move(options)) {}

  // A request of the service is dispatched for the first time.
  void CountRequest(const std::string& service);
  // Counts a retry if the budget allows it; returns whether it does.
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
