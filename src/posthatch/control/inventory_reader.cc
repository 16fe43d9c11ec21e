#include "posthatch/control/inventory_reader.h"

#include <algorithm>
#include <utility>

#include "absl/status/status.h"
#include "absl/strings/str_cat.h"

namespace posthatch::control {

InventoryReader::InventoryReader(runtime::Runtime* runtime, InventoryReaderOptions options,
                                 ReadingDone done)
    : runtime_(runtime),
      options_(std::move(options)),
      done_(std::move(done)),
      fetch_(runtime, options_.endpoint, options_.format, options_.timeout),
      timer_(runtime->timers) {}

void InventoryReader::Start() {
  if (running_ || options_.endpoint.empty()) return;
  running_ = true;
  timer_.Start(runtime::Duration::zero(), [this] { Poll(); });
}

void InventoryReader::Stop() {
  running_ = false;
  fetch_.Cancel();
  timer_.Cancel();
}

void InventoryReader::Poll() {
  fetch_.Start([this](InventoryFetch::Outcome outcome) { OnOutcome(std::move(outcome)); });
}

void InventoryReader::OnOutcome(InventoryFetch::Outcome outcome) {
  runtime::Duration pause = options_.poll_interval;
  if (absl::IsResourceExhausted(outcome.inventory.status())) {
    pause = std::clamp(outcome.pause, options_.poll_interval, options_.max_pause);
  }
  timer_.Start(pause, [this] { Poll(); });
  if (outcome.inventory.ok()) {
    done_(*std::move(outcome.inventory), outcome.asked_at);
  } else if (absl::IsInvalidArgument(outcome.inventory.status())) {
    runtime_->trace->Event(runtime::Severity::kWarning, "InventoryUnreadable",
                           {{"error", absl::StrCat(outcome.inventory.status().message())}});
  }
}

}  // namespace posthatch::control
