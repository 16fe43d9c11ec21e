#include "posthatch/routing/retry_budget.h"

#include <algorithm>

namespace posthatch::routing {

void RetryBudget::DropExpired(Window* window) const {
  const runtime::MonotonicTime window_start = clock_->Now() - options_.window;
  while (!window->requests.empty() && window->requests.front() < window_start) {
    window->requests.pop_front();
  }
  while (!window->retries.empty() && window->retries.front() < window_start)
    window->retries.pop_front();
}

void RetryBudget::CountRequest(const std::string& service) {
  Window& window = windows_[service];
  DropExpired(&window);
  window.requests.push_back(clock_->Now());
}

bool RetryBudget::TryRetry(const std::string& service) {
  Window& window = windows_[service];
  DropExpired(&window);
  const uint32_t gateways = options_.live_gateways ? std::max(1U, options_.live_gateways()) : 1;
  const double allowed =
      options_.utilization *
      (options_.ratio * static_cast<double>(window.requests.size()) + options_.slack / gateways);
  if (static_cast<double>(window.retries.size()) + 1 > allowed) return false;
  window.retries.push_back(clock_->Now());
  return true;
}

}  // namespace posthatch::routing
