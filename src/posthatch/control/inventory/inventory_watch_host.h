#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "posthatch/control/inventory/zone_peer.h"

namespace posthatch::control {

// How one read of the platform's inventory by a gateway ended.
enum class InventoryReadResult { kOk, kRateLimited, kFailed };

// Value of the label `result` in the gateways' metric of inventory reads.
std::string_view MetricLabel(InventoryReadResult result);

// Interface through which an InventoryWatch queries and notifies its gateway. Implemented by the
// gateways; event loop thread only.
class InventoryWatchHost {
 public:
  virtual ~InventoryWatchHost() = default;
  // Live gateways of the fleet, this one included, which share the platform's rate limit.
  virtual uint32_t LiveGateways() = 0;
  // The other live gateways of this one's zone, in any order. Only called with
  // InventoryWatchOptions::share_within_zone.
  virtual std::vector<ZonePeer> ZonePeers() const = 0;
  // Whether the gateway needs an inventory now; nothing is read while it doesn't. Without this, all
  // gateways of a fleet that starts at once would read before their first grant brings the
  // inventory.
  virtual bool NeedsInventory() const = 0;
  // Called after InventoryWatch::local_snapshot() has changed.
  virtual void OnLocalSnapshotChange() = 0;
  // Called after this gateway read the platform's inventory itself, or failed to.
  virtual void OnInventoryRead(InventoryReadResult result) = 0;
};

}  // namespace posthatch::control
