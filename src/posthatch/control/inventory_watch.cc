#include "posthatch/control/inventory_watch.h"

#include <algorithm>
#include <utility>

namespace posthatch::control {
namespace {

constexpr runtime::Duration kCheckInterval = std::chrono::milliseconds(100);
// First reads of gateways that notice at once are spread over this.
constexpr runtime::Duration kFirstReadSpread = std::chrono::milliseconds(400);
constexpr runtime::Duration kDefaultPause = std::chrono::milliseconds(250);
constexpr double kLeastRate = 0.01;

}  // namespace

InventoryWatch::InventoryWatch(runtime::Runtime* runtime, InventoryWatchOptions options,
                               const FleetView* view)
    : runtime_(runtime),
      options_(std::move(options)),
      view_(view),
      fetch_(runtime, options_.endpoint, options_.format, options_.timeout),
      timer_(runtime->timers) {}

void InventoryWatch::Start() {
  if (!options_.endpoint.empty()) Check();
}

runtime::Duration InventoryWatch::Age() const {
  runtime::Duration age = view_->InventoryAge();
  if (own_.has_value()) age = std::min(age, runtime_->clock->Now() - own_asked_at_);
  return age;
}

bool InventoryWatch::MayDecide() const {
  if (options_.endpoint.empty()) return true;
  if (Age() <= options_.oldest_age) return true;
  const runtime::Duration since_failure = runtime_->clock->Now() - unreachable_at_;
  return was_unreachable_ && since_failure <= std::max(options_.oldest_age, 2 * ReadInterval());
}

runtime::Duration InventoryWatch::ReadInterval() const {
  const uint32_t gateways = options_.live_gateways ? std::max(1U, options_.live_gateways()) : 1;
  const double seconds = gateways / std::max(kLeastRate, options_.reads_per_second);
  return std::chrono::duration_cast<runtime::Duration>(std::chrono::duration<double>(seconds));
}

void InventoryWatch::Check() {
  timer_.Start(kCheckInterval, [this] { Check(); });
  if (options_.needed && !options_.needed()) return;
  const runtime::MonotonicTime now = runtime_->clock->Now();
  const runtime::Duration leader_age = view_->InventoryAge();
  if (own_.has_value() && leader_age < now - own_asked_at_) {
    own_.reset();
    if (options_.on_change) options_.on_change();
  }
  if (leader_age < options_.stale_age) {
    next_read_ = runtime::MonotonicTime();
    return;
  }
  if (reading_ && now - asked_at_ < 2 * options_.timeout) return;
  if (next_read_ == runtime::MonotonicTime()) {
    next_read_ = now + runtime_->random->Between(runtime::Duration::zero(), kFirstReadSpread);
  }
  if (now >= next_read_) Read();
}

void InventoryWatch::Read() {
  reading_ = true;
  asked_at_ = runtime_->clock->Now();
  next_read_ = asked_at_ + ReadInterval();
  fetch_.Start([this](InventoryFetch::Outcome outcome) { OnOutcome(std::move(outcome)); });
}

void InventoryWatch::OnOutcome(InventoryFetch::Outcome outcome) {
  reading_ = false;
  if (absl::IsResourceExhausted(outcome.inventory.status())) {
    if (options_.on_read) options_.on_read("rate_limited");
    const bool named = outcome.pause > runtime::Duration::zero();
    next_read_ = runtime_->clock->Now() + (named ? outcome.pause : kDefaultPause) +
                 runtime_->random->Between(runtime::Duration::zero(), kCheckInterval);
    return;
  }
  if (!outcome.inventory.ok()) {
    if (options_.on_read) options_.on_read("failed");
    was_unreachable_ = true;
    unreachable_at_ = runtime_->clock->Now();
    return;
  }
  if (options_.on_read) options_.on_read("ok");
  was_unreachable_ = false;
  own_ = *std::move(outcome.inventory);
  own_asked_at_ = outcome.asked_at;
  if (options_.on_change) options_.on_change();
}

}  // namespace posthatch::control
