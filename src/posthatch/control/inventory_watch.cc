#include "posthatch/control/inventory_watch.h"

#include <algorithm>
#include <utility>

namespace posthatch::control {
namespace {

constexpr runtime::Duration kCheckInterval = std::chrono::milliseconds(100);
// First reads of gateways that notice at once are spread over this.
constexpr runtime::Duration kFirstReadSpread = std::chrono::milliseconds(400);
// The same where one gateway reads for its zone.
constexpr runtime::Duration kFirstQuestionSpread = std::chrono::milliseconds(150);
// After a refusal that names no pause, or a failure; doubled at each further one.
constexpr runtime::Duration kFirstPause = std::chrono::milliseconds(250);
constexpr runtime::Duration kLongestPause = std::chrono::seconds(4);
// A list of this age is handed to the zone's other gateways as it is.
constexpr runtime::Duration kFreshForZone = std::chrono::milliseconds(600);
constexpr double kLeastRate = 0.01;

}  // namespace

InventoryWatch::InventoryWatch(runtime::Runtime* runtime, InventoryWatchOptions options,
                               const FleetView* view)
    : runtime_(runtime),
      options_(std::move(options)),
      view_(view),
      fetch_(runtime, options_.endpoint, options_.format, options_.timeout),
      timer_(runtime->timers) {
  if (options_.endpoint.empty() || !options_.zone_peers) return;
  ZoneInventoryOptions zone_options;
  zone_options.peers = options_.zone_peers;
  zone_ = std::make_unique<ZoneInventory>(
      runtime, std::move(zone_options), view,
      [this](ZoneInventory::ReadingDone done) { Serve(std::move(done)); });
}

void InventoryWatch::Start() {
  if (!options_.endpoint.empty()) Check();
}

runtime::Duration InventoryWatch::Age() const {
  runtime::Duration age = view_->InventoryAge();
  if (own_.has_value()) age = std::min(age, runtime_->clock->Now() - own_asked_at_);
  return age;
}

InventoryReading InventoryWatch::Newest() const {
  const runtime::MonotonicTime leader_asked_at = runtime_->clock->Now() - view_->InventoryAge();
  if (own_.has_value() && own_asked_at_ > leader_asked_at) return {*own_, own_asked_at_};
  return {view_->state().inventory(), leader_asked_at};
}

bool InventoryWatch::MayDecide() const {
  if (options_.endpoint.empty()) return true;
  if (Age() <= options_.oldest_age) return true;
  if (!was_unreachable_) return false;
  const runtime::MonotonicTime now = runtime_->clock->Now();
  const bool asked_lately =
      now - unreachable_at_ <= std::max(options_.oldest_age, 2 * ReadInterval());
  return asked_lately || now <= paused_until_ + 2 * options_.timeout;
}

runtime::Duration InventoryWatch::ReadInterval() const {
  const uint32_t gateways = options_.live_gateways ? std::max(1U, options_.live_gateways()) : 1;
  if (zone_ != nullptr) return options_.zone_read_interval;
  const double seconds =
      gateways * calls_per_read_ / std::max(kLeastRate, options_.reads_per_second);
  return std::chrono::duration_cast<runtime::Duration>(std::chrono::duration<double>(seconds));
}

runtime::Duration InventoryWatch::NextPause(runtime::Duration asked) {
  runtime::Duration pause = kFirstPause;
  for (int i = 0; i < refusals_ && pause < kLongestPause; ++i) pause *= 2;
  ++refusals_;
  pause = std::max(std::min(pause, kLongestPause), asked);
  return pause + runtime_->random->Between(runtime::Duration::zero(), pause / 2);
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
  if (asking_ || (reading_ && now - asked_at_ < 2 * options_.timeout)) return;
  if (next_read_ == runtime::MonotonicTime()) {
    const runtime::Duration spread = zone_ != nullptr ? kFirstQuestionSpread : kFirstReadSpread;
    next_read_ = now + runtime_->random->Between(runtime::Duration::zero(), spread);
  }
  if (now >= next_read_) Refresh();
}

void InventoryWatch::Refresh() {
  next_read_ = runtime_->clock->Now() + ReadInterval();
  const bool may_read = !was_unreachable_ && runtime_->clock->Now() >= paused_until_;
  asking_ = zone_ != nullptr &&
            zone_->Ask(may_read, [this](const std::optional<InventoryReading>& reading) {
              OnZoneReading(reading);
            });
  if (!asking_) ReadPlatform();
}

void InventoryWatch::OnZoneReading(const std::optional<InventoryReading>& reading) {
  asking_ = false;
  if (!reading.has_value()) {
    next_read_ = runtime_->clock->Now();  // the next gateway of the zone is asked
    return;
  }
  TakeOwn(reading->inventory, reading->asked_at);
}

void InventoryWatch::TakeOwn(Inventory inventory, runtime::MonotonicTime asked_at) {
  if (own_.has_value() && asked_at <= own_asked_at_) return;
  own_ = std::move(inventory);
  own_asked_at_ = asked_at;
  if (options_.on_change) options_.on_change();
}

void InventoryWatch::ReadPlatform() {
  if (runtime_->clock->Now() < paused_until_) return AnswerWaiting();
  reading_ = true;
  asked_at_ = runtime_->clock->Now();
  fetch_.Start([this](InventoryFetch::Outcome outcome) { OnOutcome(std::move(outcome)); });
}

void InventoryWatch::OnOutcome(InventoryFetch::Outcome outcome) {
  reading_ = false;
  const absl::Status& status = outcome.inventory.status();
  if (status.ok()) {
    if (options_.on_read) options_.on_read("ok");
    was_unreachable_ = false;
    refusals_ = 0;
    calls_per_read_ = std::max(1, outcome.calls);
    TakeOwn(*std::move(outcome.inventory), outcome.asked_at);
    return AnswerWaiting();
  }
  const bool refused = absl::IsResourceExhausted(status);
  if (options_.on_read) options_.on_read(refused ? "rate_limited" : "failed");
  if (!refused) {
    was_unreachable_ = true;
    unreachable_at_ = runtime_->clock->Now();
  }
  paused_until_ = runtime_->clock->Now() + NextPause(outcome.pause);
  // In a zone others are asked meanwhile.
  if (zone_ == nullptr) next_read_ = std::max(next_read_, paused_until_);
  AnswerWaiting();
}

void InventoryWatch::Serve(ZoneInventory::ReadingDone done) {
  if (Age() <= kFreshForZone) return done(Newest());
  waiting_.push_back(std::move(done));
  const bool read_is_lost = runtime_->clock->Now() - asked_at_ >= 2 * options_.timeout;
  if (!reading_ || read_is_lost) ReadPlatform();
}

void InventoryWatch::AnswerWaiting() {
  const std::vector<ZoneInventory::ReadingDone> waiting = std::exchange(waiting_, {});
  for (const ZoneInventory::ReadingDone& done : waiting) {
    if (Age() <= kFreshForZone) {
      done(Newest());
    } else {
      done(std::nullopt);
    }
  }
}

}  // namespace posthatch::control
