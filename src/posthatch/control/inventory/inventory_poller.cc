#include "posthatch/control/inventory/inventory_poller.h"

#include <algorithm>
#include <utility>

#include "absl/status/status.h"
#include "absl/strings/str_cat.h"

namespace posthatch::control {

InventoryPoller::InventoryPoller(runtime::Runtime* runtime, InventoryPollerOptions options,
                                 ReadCallback done)
    : runtime_(runtime),
      options_(std::move(options)),
      done_(std::move(done)),
      fetch_(runtime, options_.endpoint, options_.format, options_.timeout),
      timer_(runtime->timers) {}

void InventoryPoller::Start() {
  if (running_ || options_.endpoint.empty()) return;
  running_ = true;
  timer_.Start(runtime::Duration::zero(), [this] { Poll(); });
}

void InventoryPoller::Stop() {
  running_ = false;
  fetch_.Cancel();
  timer_.Cancel();
}

void InventoryPoller::Poll() {
  fetch_.Start([this](InventoryFetch::Outcome outcome) { OnOutcome(std::move(outcome)); });
}

void InventoryPoller::OnOutcome(InventoryFetch::Outcome outcome) {
  runtime::Duration delay = options_.poll_interval;
  if (absl::IsResourceExhausted(outcome.inventory.status())) {
    delay = std::clamp(outcome.retry_after, options_.poll_interval, options_.max_retry_after);
  }
  timer_.Start(delay, [this] { Poll(); });
  if (outcome.inventory.ok()) {
    done_(*std::move(outcome.inventory), outcome.requested_at);
  } else if (absl::IsInvalidArgument(outcome.inventory.status())) {
    runtime_->trace->Event(runtime::Severity::kWarning, "InventoryMalformed",
                           {{"error", absl::StrCat(outcome.inventory.status().message())}});
  }
}

}  // namespace posthatch::control
