#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::routing {

struct RetryBudgetOptions {
  // Limit on the retries (dispatches beyond the first of a request) that all gateways together may
  // send in any `window`: this fraction of the requests, plus `slack`.
  double ratio = 0.2;
  double slack = 20;
  runtime::Duration window = std::chrono::seconds(10);
  // Fraction of the limit that is used; the rest is a margin for gateways that see a different
  // number of live gateways.
  double utilization = 0.6;
  // Returns the number of the fleet's live gateways, including this one.
  std::function<uint32_t()> live_gateways;
};

// This gateway's share of the fleet's retry budget, per service: the slack is divided among the
// live gateways. (gateway::RetryBudget is the budget of the other data plane; it has no slack, and
// reverts first attempts that were never sent.) Owned by TrafficGateway; event loop thread only.
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
