#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "posthatch/control/client/control_client.h"
#include "posthatch/control/inventory/inventory_fetch.h"
#include "posthatch/control/inventory/inventory_format.h"
#include "posthatch/control/inventory/inventory_watch_host.h"
#include "posthatch/control/inventory/zone_inventory.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::control {

struct InventoryWatchOptions {
  std::string endpoint;  // "ip:port" of the platform's inventory; empty: never read here
  const InventoryFormat* format = NativeInventoryFormat();
  // Age of the leader's snapshot from which on this gateway gets a newer one itself.
  runtime::Duration stale_age = std::chrono::seconds(2);
  // Beyond this age HasUsableInventory() is false until another read has been attempted: a draining
  // mark may be nearly 3 s old by then (invariant N7).
  runtime::Duration max_age = std::chrono::milliseconds(2800);
  runtime::Duration timeout = std::chrono::milliseconds(500);
  // Rate limit of the platform's interface over all gateways; each page of a snapshot counts.
  double reads_per_second = 4.0;
  // One gateway of each zone reads for the others (ZoneInventory); otherwise each reads for itself.
  bool share_within_zone = false;
  // Interval between two reads with `share_within_zone`.
  runtime::Duration zone_read_interval = std::chrono::seconds(1);
};

// Keeps a gateway's inventory fresh while the leader's snapshot is stale: requests it from the
// gateway that reads for the zone, or reads it from the platform, at this gateway's share of the
// fleet's rate limit and with exponential backoff after failures. Owned by the gateway; event loop
// thread only.
class InventoryWatch {
 public:
  // Every pointer must outlive this object.
  InventoryWatch(runtime::Runtime* runtime, InventoryWatchOptions options, InventoryWatchHost* host,
                 const FleetView* view);

  void Start();
  // The gateway's own snapshot while it is newer than the leader's; null otherwise.
  const Inventory* local_snapshot() const {
    return local_snapshot_.has_value() ? &local_snapshot_->inventory : nullptr;
  }
  // Whether requests may be routed by the newest snapshot: it is no older than `max_age`, or the
  // platform failed to respond to a recent attempt to read a newer one.
  bool HasUsableInventory() const;

 private:
  // Runs at each check interval.
  void Check();
  void DropOlderLocalSnapshot(runtime::Duration leader_age);
  bool ReadInFlight() const;
  // Gets a newer snapshot, from the zone's reader or from the platform.
  void Refresh();
  void ReadPlatform();
  void OnReadDone(InventoryFetch::Outcome outcome);
  void OnReadFailed(const absl::Status& status, runtime::Duration retry_after);
  void OnPeerSnapshot(const std::optional<InventorySnapshot>& snapshot);
  // Responds to a gateway of the zone with a fresh enough snapshot, or reads one first.
  void ServePeer(ZoneInventory::ReadCallback done);
  void RespondToWaitingPeers();
  void AdoptLocalSnapshot(InventorySnapshot snapshot);
  // The newer one of this gateway's and the leader's snapshots, and its age.
  InventorySnapshot NewestSnapshot() const;
  runtime::Duration Age() const;
  runtime::Duration ReadInterval() const;
  // Doubles with each failure since the last success, up to a maximum, but is never shorter than
  // the platform's `retry_after`; plus jitter.
  runtime::Duration NextBackoff(runtime::Duration retry_after);

  runtime::Runtime* const runtime_;
  const InventoryWatchOptions options_;
  InventoryWatchHost* const host_;
  const FleetView* const view_;
  InventoryFetch fetch_;
  std::unique_ptr<ZoneInventory> zone_;  // null without `share_within_zone`
  runtime::Timer check_timer_;

  std::optional<InventorySnapshot> local_snapshot_;
  // Unset while the leader's snapshot is fresh: the first read after that gets its own jitter.
  std::optional<runtime::MonotonicTime> next_read_at_;
  bool peer_read_in_flight_ = false;
  bool platform_read_in_flight_ = false;
  runtime::MonotonicTime platform_read_started_at_;  // start of the newest read
  int calls_per_read_ = 1;                           // pages of the last successful read

  // Set by a read that got no response; a rate limit (429) shows that the platform is reachable.
  std::optional<runtime::MonotonicTime> platform_unreachable_at_;
  // No read of the platform starts before this time, neither for this gateway nor for a peer.
  runtime::MonotonicTime backoff_until_;
  int consecutive_failures_ = 0;
  std::vector<ZoneInventory::ReadCallback> waiting_peers_;
};

}  // namespace posthatch::control
