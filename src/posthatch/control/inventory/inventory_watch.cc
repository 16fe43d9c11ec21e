#include "posthatch/control/inventory/inventory_watch.h"

#include <algorithm>
#include <utility>

namespace posthatch::control {
namespace {

constexpr runtime::Duration kCheckInterval = std::chrono::milliseconds(100);
// First reads of gateways that notice at once are spread over this.
constexpr runtime::Duration kFirstReadJitter = std::chrono::milliseconds(400);
// The same where one gateway reads for its zone.
constexpr runtime::Duration kFirstPeerReadJitter = std::chrono::milliseconds(150);
// After a refusal that names no pause, or a failure; doubled at each further one.
constexpr runtime::Duration kInitialBackoff = std::chrono::milliseconds(250);
constexpr runtime::Duration kMaxBackoff = std::chrono::seconds(4);
// A list of this age is handed to the zone's other gateways as it is.
constexpr runtime::Duration kMaxSharedReadingAge = std::chrono::milliseconds(600);
constexpr double kMinReadsPerSecond = 0.01;

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
      [this](ZoneInventory::ReadCallback done) { ServePeer(std::move(done)); });
}

void InventoryWatch::Start() {
  if (!options_.endpoint.empty()) Check();
}

runtime::Duration InventoryWatch::Age() const {
  runtime::Duration age = view_->InventoryAge();
  if (local_snapshot_.has_value())
    age = std::min(age, runtime_->clock->Now() - local_snapshot_requested_at_);
  return age;
}

InventoryReading InventoryWatch::NewestReading() const {
  const runtime::MonotonicTime leader_requested_at = runtime_->clock->Now() - view_->InventoryAge();
  if (local_snapshot_.has_value() && local_snapshot_requested_at_ > leader_requested_at)
    return {*local_snapshot_, local_snapshot_requested_at_};
  return {view_->state().inventory(), leader_requested_at};
}

bool InventoryWatch::HasUsableInventory() const {
  if (options_.endpoint.empty()) return true;
  if (Age() <= options_.max_age) return true;
  if (!platform_unreachable_) return false;
  const runtime::MonotonicTime now = runtime_->clock->Now();
  const bool requested_recently =
      now - platform_unreachable_at_ <= std::max(options_.max_age, 2 * ReadInterval());
  return requested_recently || now <= backoff_until_ + 2 * options_.timeout;
}

runtime::Duration InventoryWatch::ReadInterval() const {
  const uint32_t gateways = options_.live_gateways ? std::max(1U, options_.live_gateways()) : 1;
  if (zone_ != nullptr) return options_.zone_read_interval;
  const double seconds =
      gateways * calls_per_read_ / std::max(kMinReadsPerSecond, options_.reads_per_second);
  return std::chrono::duration_cast<runtime::Duration>(std::chrono::duration<double>(seconds));
}

runtime::Duration InventoryWatch::NextBackoff(runtime::Duration retry_after) {
  runtime::Duration pause = kInitialBackoff;
  for (int i = 0; i < consecutive_failures_ && pause < kMaxBackoff; ++i) pause *= 2;
  ++consecutive_failures_;
  pause = std::max(std::min(pause, kMaxBackoff), retry_after);
  return pause + runtime_->random->Between(runtime::Duration::zero(), pause / 2);
}

void InventoryWatch::Check() {
  timer_.Start(kCheckInterval, [this] { Check(); });
  if (options_.needed && !options_.needed()) return;
  const runtime::MonotonicTime now = runtime_->clock->Now();
  const runtime::Duration leader_age = view_->InventoryAge();
  if (local_snapshot_.has_value() && leader_age < now - local_snapshot_requested_at_) {
    local_snapshot_.reset();
    if (options_.on_change) options_.on_change();
  }
  if (leader_age < options_.stale_age) {
    next_read_ = runtime::MonotonicTime();
    return;
  }
  if (peer_read_in_flight_ ||
      (platform_read_in_flight_ && now - requested_at_ < 2 * options_.timeout))
    return;
  if (next_read_ == runtime::MonotonicTime()) {
    const runtime::Duration jitter = zone_ != nullptr ? kFirstPeerReadJitter : kFirstReadJitter;
    next_read_ = now + runtime_->random->Between(runtime::Duration::zero(), jitter);
  }
  if (now >= next_read_) Refresh();
}

void InventoryWatch::Refresh() {
  next_read_ = runtime_->clock->Now() + ReadInterval();
  const bool may_read = !platform_unreachable_ && runtime_->clock->Now() >= backoff_until_;
  peer_read_in_flight_ =
      zone_ != nullptr &&
      zone_->RequestFromPeer(may_read, [this](const std::optional<InventoryReading>& reading) {
        OnPeerReading(reading);
      });
  if (!peer_read_in_flight_) ReadPlatform();
}

void InventoryWatch::OnPeerReading(const std::optional<InventoryReading>& reading) {
  peer_read_in_flight_ = false;
  if (!reading.has_value()) {
    next_read_ = runtime_->clock->Now();  // the next gateway of the zone is asked
    return;
  }
  AdoptLocalSnapshot(reading->inventory, reading->requested_at);
}

void InventoryWatch::AdoptLocalSnapshot(Inventory inventory, runtime::MonotonicTime requested_at) {
  if (local_snapshot_.has_value() && requested_at <= local_snapshot_requested_at_) return;
  local_snapshot_ = std::move(inventory);
  local_snapshot_requested_at_ = requested_at;
  if (options_.on_change) options_.on_change();
}

void InventoryWatch::ReadPlatform() {
  if (runtime_->clock->Now() < backoff_until_) return RespondToWaitingPeers();
  platform_read_in_flight_ = true;
  requested_at_ = runtime_->clock->Now();
  fetch_.Start([this](InventoryFetch::Outcome outcome) { OnOutcome(std::move(outcome)); });
}

void InventoryWatch::OnOutcome(InventoryFetch::Outcome outcome) {
  platform_read_in_flight_ = false;
  const absl::Status& status = outcome.inventory.status();
  if (status.ok()) {
    if (options_.on_read) options_.on_read("ok");
    platform_unreachable_ = false;
    consecutive_failures_ = 0;
    calls_per_read_ = std::max(1, outcome.calls);
    AdoptLocalSnapshot(*std::move(outcome.inventory), outcome.requested_at);
    return RespondToWaitingPeers();
  }
  const bool refused = absl::IsResourceExhausted(status);
  if (options_.on_read) options_.on_read(refused ? "rate_limited" : "failed");
  if (!refused) {
    platform_unreachable_ = true;
    platform_unreachable_at_ = runtime_->clock->Now();
  }
  backoff_until_ = runtime_->clock->Now() + NextBackoff(outcome.pause);
  // In a zone others are asked meanwhile.
  if (zone_ == nullptr) next_read_ = std::max(next_read_, backoff_until_);
  RespondToWaitingPeers();
}

void InventoryWatch::ServePeer(ZoneInventory::ReadCallback done) {
  if (Age() <= kMaxSharedReadingAge) return done(NewestReading());
  waiting_peers_.push_back(std::move(done));
  const bool read_is_lost = runtime_->clock->Now() - requested_at_ >= 2 * options_.timeout;
  if (!platform_read_in_flight_ || read_is_lost) ReadPlatform();
}

void InventoryWatch::RespondToWaitingPeers() {
  const std::vector<ZoneInventory::ReadCallback> waiting = std::exchange(waiting_peers_, {});
  for (const ZoneInventory::ReadCallback& done : waiting) {
    if (Age() <= kMaxSharedReadingAge) {
      done(NewestReading());
    } else {
      done(std::nullopt);
    }
  }
}

}  // namespace posthatch::control
