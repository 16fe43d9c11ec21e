#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "posthatch/control/client/control_client.h"
#include "posthatch/control/control.pb.h"
#include "posthatch/control/inventory/zone_peer.h"
#include "posthatch/runtime/runtime.h"
#include "posthatch/util/lifetime.h"

namespace posthatch::control {

// A snapshot of the platform's inventory that this or another gateway has read.
struct InventorySnapshot {
  Inventory inventory;
  // Earliest time at which it may have been requested from the platform, by this process's clock.
  runtime::MonotonicTime requested_at;
};

struct ZoneInventoryOptions {
  // Returns the other live gateways of the zone, in any order; called for each request.
  std::function<std::vector<ZonePeer>()> peers;
  // Time from a request until the next peer is queried: covers a read of an inventory of a few
  // pages, and a round trip within the zone.
  runtime::Duration response_timeout = std::chrono::milliseconds(300);
  // How long a peer is skipped after a timeout: by then it responds again, or the membership has
  // removed it.
  runtime::Duration unresponsive_period = std::chrono::seconds(5);
};

// Lets one gateway of a zone read the platform's inventory for all of them while the controllers
// are unreachable. The platform's rate limit applies to the whole fleet, and gateways that each
// read for themselves make calls in proportion to their number: with a few hundred gateways the
// rejected calls alone keep the leader from reading the inventory.
//
// Requests go to the peer with the lowest node id, and any gateway that receives one reads. There
// is no election: gateways that see different members cause a few more reads. Owned by
// InventoryWatch; event loop thread only. Registers the receiver of SERVICE_INVENTORY at the
// runtime's transport.
class ZoneInventory {
 public:
  // Receives nullopt if the platform couldn't be read, or the peer didn't respond in time.
  using ReadCallback = std::function<void(const std::optional<InventorySnapshot>&)>;
  // Refreshes this gateway's own snapshot if necessary and passes it to the callback.
  using Reader = std::function<void(ReadCallback)>;

  // `view` must outlive this object.
  ZoneInventory(runtime::Runtime* runtime, ZoneInventoryOptions options, const FleetView* view,
                Reader reader);
  ~ZoneInventory();
  ZoneInventory(const ZoneInventory&) = delete;
  ZoneInventory& operator=(const ZoneInventory&) = delete;

  // Requests a snapshot from the zone's reader; `done` runs once, asynchronously. Returns false and
  // sends nothing if this gateway is the one to read, or too many peers are unresponsive.
  // `may_read` is false for a gateway that can't reach the platform itself: it also queries peers
  // with higher node ids. Only one request may be pending.
  bool RequestFromPeer(bool may_read, ReadCallback done);

 private:
  // Number of unresponsive peers that are skipped before this gateway reads for itself.
  static constexpr size_t kMaxConsecutiveTimeouts = 3;

  struct PendingRequest {
    uint64_t request_id = 0;
    std::string node_id;  // node id of the queried peer
    runtime::MonotonicTime sent_at;
    ReadCallback done;
  };

  // nullopt if this gateway is to read.
  std::optional<ZonePeer> SelectPeer(bool may_read) const;
  bool IsUnresponsive(const ZonePeer& peer) const;
  void OnEnvelope(const runtime::Envelope& envelope);
  void OnRequest(const std::string& endpoint, const InventoryRequest& request);
  void OnResponse(const InventoryResponse& response);
  void OnRequestTimeout();
  void Finish(const std::optional<InventorySnapshot>& snapshot);
  InventoryResponse MakeResponse(const InventoryRequest& request,
                                 const std::optional<InventorySnapshot>& snapshot) const;
  // The inventory of a response; nullopt if it is a delta from another base than this gateway's.
  std::optional<Inventory> Reconstruct(const InventoryResponse& response) const;
  void Send(const std::string& endpoint, const InventoryMessage& message);

  runtime::Runtime* const runtime_;
  const ZoneInventoryOptions options_;
  const FleetView* const view_;
  const Reader reader_;
  std::optional<PendingRequest> pending_request_;
  uint64_t last_request_id_ = 0;
  absl::flat_hash_map<std::string, runtime::MonotonicTime> unresponsive_until_;  // keyed by node id
  runtime::Timer response_timer_;
  util::Lifetime lifetime_;
};

}  // namespace posthatch::control
