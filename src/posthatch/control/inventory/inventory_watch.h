#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "posthatch/control/client/control_client.h"
#include "posthatch/control/inventory/inventory_fetch.h"
#include "posthatch/control/inventory/inventory_format.h"
#include "posthatch/control/inventory/zone_inventory.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::control {

struct InventoryWatchOptions {
  std::string endpoint;  // "ip:port" of the platform's inventory; empty: never read here
  const InventoryFormat* format = NativeInventoryFormat();
  // From this age of the leader's reading on, this gateway reads for itself.
  runtime::Duration stale_age = std::chrono::seconds(2);
  // From this age on nothing is decided until the list was asked for anew: a draining mark may be
  // nearly 3 s old by then (invariant N7).
  runtime::Duration max_age = std::chrono::milliseconds(2800);
  runtime::Duration timeout = std::chrono::milliseconds(500);
  // Calls that all gateways together may make of the platform, per second; a list takes as many as
  // it has pages.
  double reads_per_second = 4.0;
  // Live gateways of the fleet with this one.
  std::function<uint32_t()> live_gateways;
  // The other live gateways of this one's zone, one of which reads for all of them; empty: each
  // gateway reads for itself.
  std::function<std::vector<ZonePeer>()> zone_peers;
  // Between two readings where one gateway reads for its zone, if the rate allows that much.
  runtime::Duration zone_read_interval = std::chrono::seconds(1);
  // Whether the list is of any use now; null: always. Asked at each look at the list's age. A fleet
  // that starts as a whole would otherwise read the list once for each gateway.
  std::function<bool()> needed;
  // Runs after own() changed.
  std::function<void()> on_change;
  // Counts a reading: "ok", "rate_limited" or "failed".
  std::function<void(std::string_view outcome)> on_read;
};

// A gateway's own watch on the platform's inventory, for when the leader's reading is stale: asks
// the gateway that reads for its zone, or reads it itself, at this gateway's share of the fleet's
// rate and with pauses that double at each refusal. Owned by the gateway; event loop thread only.
class InventoryWatch {
 public:
  InventoryWatch(runtime::Runtime* runtime, InventoryWatchOptions options, const FleetView* view);

  void Start();
  // This gateway's own reading while it is newer than the leader's; null otherwise.
  const Inventory* local_snapshot() const {
    return local_snapshot_.has_value() ? &*local_snapshot_ : nullptr;
  }
  // False while the newest reading is older than `max_age` and the platform wasn't asked since.
  // When the platform doesn't answer, the last list is used.
  bool HasUsableInventory() const;

 private:
  void Check();
  // Gets a newer list, from the zone's reader or from the platform.
  void Refresh();
  void ReadPlatform();
  void OnOutcome(InventoryFetch::Outcome outcome);
  void OnPeerReading(const std::optional<InventoryReading>& reading);
  // Hands a list over that is fresh enough for the zone's other gateways, reading it if need be.
  void ServePeer(ZoneInventory::ReadCallback done);
  void RespondToWaitingPeers();
  void AdoptLocalSnapshot(Inventory inventory, runtime::MonotonicTime requested_at);
  // The newer one of the two readings.
  InventoryReading NewestReading() const;
  runtime::Duration Age() const;
  runtime::Duration ReadInterval() const;
  // The pause after a refusal or a failure, which grows until a reading succeeds.
  runtime::Duration NextBackoff(runtime::Duration retry_after);

  runtime::Runtime* const runtime_;
  const InventoryWatchOptions options_;
  const FleetView* const view_;
  InventoryFetch fetch_;
  std::unique_ptr<ZoneInventory> zone_;  // null: each gateway reads for itself
  runtime::Timer timer_;
  std::optional<Inventory> local_snapshot_;
  runtime::MonotonicTime local_snapshot_requested_at_;
  runtime::MonotonicTime requested_at_;             // of the read in progress or the last one
  runtime::MonotonicTime platform_unreachable_at_;  // when the platform last failed to answer
  bool platform_unreachable_ = false;
  bool platform_read_in_flight_ = false;  // the platform is being asked
  bool peer_read_in_flight_ = false;      // the zone's reader is being asked
  runtime::MonotonicTime next_read_;
  // No call of the platform before, whoever asks for it.
  runtime::MonotonicTime backoff_until_;
  int consecutive_failures_ = 0;  // and failures, since the last reading that succeeded
  int calls_per_read_ = 1;        // as the last reading took
  std::vector<ZoneInventory::ReadCallback> waiting_peers_;
};

}  // namespace posthatch::control
