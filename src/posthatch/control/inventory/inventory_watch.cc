#include "posthatch/control/inventory/inventory_watch.h"

#include <algorithm>
#include <utility>

namespace posthatch::control {
namespace {

constexpr runtime::Duration kCheckInterval = std::chrono::milliseconds(100);
// Spreads the first reads of gateways that lose the controllers at the same moment.
constexpr runtime::Duration kFirstReadJitter = std::chrono::milliseconds(400);
// Spreads the first reads where one gateway reads for its zone.
constexpr runtime::Duration kFirstPeerReadJitter = std::chrono::milliseconds(150);
constexpr runtime::Duration kInitialBackoff = std::chrono::milliseconds(250);
constexpr runtime::Duration kMaxBackoff = std::chrono::seconds(4);
// A snapshot of at most this age is shared with the zone's other gateways without a new read.
constexpr runtime::Duration kMaxSharedSnapshotAge = std::chrono::milliseconds(600);
constexpr double kMinReadsPerSecond = 0.01;

}  // namespace

InventoryWatch::InventoryWatch(runtime::Runtime* runtime, InventoryWatchOptions options,
                               InventoryWatchHost* host, const FleetView* view)
    : runtime_(runtime),
      options_(std::move(options)),
      host_(host),
      view_(view),
      fetch_(runtime, options_.endpoint, options_.format, options_.timeout),
      check_timer_(runtime->timers) {
  if (options_.endpoint.empty() || !options_.share_within_zone) return;
  ZoneInventoryOptions zone_options;
  zone_options.peers = [this] { return host_->ZonePeers(); };
  zone_ = std::make_unique<ZoneInventory>(
      runtime, std::move(zone_options), view,
      [this](ZoneInventory::ReadCallback done) { ServePeer(std::move(done)); });
}

void InventoryWatch::Start() {
  if (!options_.endpoint.empty()) Check();
}

runtime::Duration InventoryWatch::Age() const {
  const runtime::Duration leader_age = view_->InventoryAge();
  if (!local_snapshot_.has_value()) return leader_age;
  return std::min(leader_age, runtime_->clock->Now() - local_snapshot_->requested_at);
}

InventorySnapshot InventoryWatch::NewestSnapshot() const {
  const runtime::MonotonicTime leader_requested_at = runtime_->clock->Now() - view_->InventoryAge();
  if (local_snapshot_.has_value() && local_snapshot_->requested_at > leader_requested_at) {
    return *local_snapshot_;
  }
  return {view_->state().inventory(), leader_requested_at};
}

bool InventoryWatch::HasUsableInventory() const {
  if (options_.endpoint.empty()) return true;
  if (Age() <= options_.max_age) return true;
  if (!platform_unreachable_at_.has_value()) return false;
  const runtime::MonotonicTime now = runtime_->clock->Now();
  const bool attempted_recently =
      now - *platform_unreachable_at_ <= std::max(options_.max_age, 2 * ReadInterval());
  const bool backing_off = now <= backoff_until_ + 2 * options_.timeout;
  return attempted_recently || backing_off;
}

runtime::Duration InventoryWatch::ReadInterval() const {
  const uint32_t gateways = std::max(1U, host_->LiveGateways());
  if (zone_ != nullptr) return options_.zone_read_interval;
  const double seconds =
      gateways * calls_per_read_ / std::max(kMinReadsPerSecond, options_.reads_per_second);
  return std::chrono::duration_cast<runtime::Duration>(std::chrono::duration<double>(seconds));
}

runtime::Duration InventoryWatch::NextBackoff(runtime::Duration retry_after) {
  runtime::Duration backoff = kInitialBackoff;
  for (int i = 0; i < consecutive_failures_ && backoff < kMaxBackoff; ++i) backoff *= 2;
  ++consecutive_failures_;
  backoff = std::max(std::min(backoff, kMaxBackoff), retry_after);
  return backoff + runtime_->random->Between(runtime::Duration::zero(), backoff / 2);
}

void InventoryWatch::Check() {
  check_timer_.Start(kCheckInterval, [this] { Check(); });
  if (!host_->NeedsInventory()) return;
  const runtime::Duration leader_age = view_->InventoryAge();
  DropOlderLocalSnapshot(leader_age);
  if (leader_age < options_.stale_age) {
    next_read_at_.reset();
    return;
  }
  if (ReadInFlight()) return;
  const runtime::MonotonicTime now = runtime_->clock->Now();
  if (!next_read_at_.has_value()) {
    const runtime::Duration jitter = zone_ != nullptr ? kFirstPeerReadJitter : kFirstReadJitter;
    next_read_at_ = now + runtime_->random->Between(runtime::Duration::zero(), jitter);
  }
  if (now >= *next_read_at_) Refresh();
}

void InventoryWatch::DropOlderLocalSnapshot(runtime::Duration leader_age) {
  if (!local_snapshot_.has_value()) return;
  if (leader_age >= runtime_->clock->Now() - local_snapshot_->requested_at) return;
  local_snapshot_.reset();
  host_->OnLocalSnapshotChange();
}

bool InventoryWatch::ReadInFlight() const {
  if (peer_read_in_flight_) return true;
  return platform_read_in_flight_ &&
         runtime_->clock->Now() - platform_read_started_at_ < 2 * options_.timeout;
}

void InventoryWatch::Refresh() {
  next_read_at_ = runtime_->clock->Now() + ReadInterval();
  const bool may_read =
      !platform_unreachable_at_.has_value() && runtime_->clock->Now() >= backoff_until_;
  peer_read_in_flight_ =
      zone_ != nullptr &&
      zone_->RequestFromPeer(may_read, [this](const std::optional<InventorySnapshot>& snapshot) {
        OnPeerSnapshot(snapshot);
      });
  if (!peer_read_in_flight_) ReadPlatform();
}

void InventoryWatch::OnPeerSnapshot(const std::optional<InventorySnapshot>& snapshot) {
  peer_read_in_flight_ = false;
  if (!snapshot.has_value()) {
    next_read_at_ = runtime_->clock->Now();  // the next check queries the zone's next gateway
    return;
  }
  AdoptLocalSnapshot(*snapshot);
}

void InventoryWatch::AdoptLocalSnapshot(InventorySnapshot snapshot) {
  if (local_snapshot_.has_value() && snapshot.requested_at <= local_snapshot_->requested_at) return;
  local_snapshot_ = std::move(snapshot);
  host_->OnLocalSnapshotChange();
}

void InventoryWatch::ReadPlatform() {
  const runtime::MonotonicTime now = runtime_->clock->Now();
  if (now < backoff_until_) {
    RespondToWaitingPeers();
    return;
  }
  platform_read_in_flight_ = true;
  platform_read_started_at_ = now;
  fetch_.Start([this](InventoryFetch::Outcome outcome) { OnReadDone(std::move(outcome)); });
}

void InventoryWatch::OnReadDone(InventoryFetch::Outcome outcome) {
  platform_read_in_flight_ = false;
  if (outcome.inventory.ok()) {
    host_->OnInventoryRead(InventoryReadResult::kOk);
    platform_unreachable_at_.reset();
    consecutive_failures_ = 0;
    calls_per_read_ = std::max(1, outcome.calls);
    AdoptLocalSnapshot({*std::move(outcome.inventory), outcome.requested_at});
  } else {
    OnReadFailed(outcome.inventory.status(), outcome.retry_after);
  }
  RespondToWaitingPeers();
}

void InventoryWatch::OnReadFailed(const absl::Status& status, runtime::Duration retry_after) {
  const bool rate_limited = absl::IsResourceExhausted(status);
  host_->OnInventoryRead(rate_limited ? InventoryReadResult::kRateLimited
                                      : InventoryReadResult::kFailed);
  const runtime::MonotonicTime now = runtime_->clock->Now();
  if (!rate_limited) platform_unreachable_at_ = now;
  backoff_until_ = now + NextBackoff(retry_after);
  // With `share_within_zone` the zone's other gateways are queried during the backoff.
  if (zone_ == nullptr) {
    next_read_at_ =
        next_read_at_.has_value() ? std::max(*next_read_at_, backoff_until_) : backoff_until_;
  }
}

void InventoryWatch::ServePeer(ZoneInventory::ReadCallback done) {
  if (Age() <= kMaxSharedSnapshotAge) {
    done(NewestSnapshot());
    return;
  }
  waiting_peers_.push_back(std::move(done));
  const bool read_timed_out =
      runtime_->clock->Now() - platform_read_started_at_ >= 2 * options_.timeout;
  if (!platform_read_in_flight_ || read_timed_out) ReadPlatform();
}

void InventoryWatch::RespondToWaitingPeers() {
  const std::vector<ZoneInventory::ReadCallback> waiting = std::exchange(waiting_peers_, {});
  for (const ZoneInventory::ReadCallback& done : waiting) {
    if (Age() <= kMaxSharedSnapshotAge) {
      done(NewestSnapshot());
    } else {
      done(std::nullopt);
    }
  }
}

}  // namespace posthatch::control
