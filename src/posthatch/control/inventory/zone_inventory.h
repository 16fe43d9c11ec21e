#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "posthatch/control/client/control_client.h"
#include "posthatch/control/control.pb.h"
#include "posthatch/control/inventory/zone_peer.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::control {

// The platform's list as somebody read it.
struct InventoryReading {
  Inventory inventory;
  // When it was asked for, at the latest, by this process's clock.
  runtime::MonotonicTime requested_at;
};

struct ZoneInventoryOptions {
  // The other live gateways of the zone, in any order; asked at each question.
  std::function<std::vector<ZonePeer>()> peers;
  // From a question to the next gateway being asked: a read of a list of a few pages and two ways
  // within a zone.
  runtime::Duration response_timeout = std::chrono::milliseconds(300);
  // For how long a gateway that left a question unanswered isn't asked again: by then the
  // membership has dropped it, or it answers.
  runtime::Duration unresponsive_period = std::chrono::seconds(5);
};

// Lets one gateway of a zone read the platform's list for all of them while the controllers are not
// heard from. The list is capped for the whole fleet, and a fleet in which each gateway reads for
// itself asks for it in proportion to its size: at some hundred gateways the refusals alone keep
// the leader from reading it.
//
// The gateway with the lowest node id of the zone is asked first; whoever is asked reads. Nobody is
// elected: gateways that see the zone differently cost a few more reads. Owned by InventoryWatch;
// event loop thread only; it takes SERVICE_INVENTORY of the runtime's transport.
class ZoneInventory {
 public:
  // Nothing if the platform couldn't be read there, or there was no answer in time.
  using ReadCallback = std::function<void(const std::optional<InventoryReading>&)>;
  // Brings this gateway's own list up to date and hands it over.
  using Reader = std::function<void(ReadCallback)>;

  ZoneInventory(runtime::Runtime* runtime, ZoneInventoryOptions options, const FleetView* view,
                Reader reader);
  ~ZoneInventory();
  ZoneInventory(const ZoneInventory&) = delete;
  ZoneInventory& operator=(const ZoneInventory&) = delete;

  // Asks the zone's reader; `done` runs once, never within the call. False if this gateway is the
  // one to read, or too many were silent: nothing was asked. `may_read` is false for a gateway
  // that can't reach the platform itself: it asks those after it as well.
  bool RequestFromPeer(bool may_read, ReadCallback done);

 private:
  // Gateways that may be silent in a row before this one reads for itself.
  static constexpr size_t kMaxConsecutiveTimeouts = 3;

  struct PendingRequest {
    uint64_t query = 0;
    std::string node_id;
    runtime::MonotonicTime sent_at;
    ReadCallback done;
  };

  // Nothing if this gateway is to read.
  std::optional<ZonePeer> SelectPeer(bool may_read) const;
  void OnEnvelope(const runtime::Envelope& envelope);
  void OnRequest(const std::string& endpoint, const InventoryRequest& query);
  void OnResponse(const InventoryResponse& response);
  void OnRequestTimeout();
  void Finish(const std::optional<InventoryReading>& reading);
  InventoryResponse MakeResponse(const InventoryRequest& query,
                                 const std::optional<InventoryReading>& reading) const;
  // The list that an answer tells; nothing if it is a difference from another one than ours.
  std::optional<Inventory> Reconstruct(const InventoryResponse& response) const;
  void Send(const std::string& endpoint, const InventoryMessage& message);

  runtime::Runtime* const runtime_;
  const ZoneInventoryOptions options_;
  const FleetView* const view_;
  const Reader reader_;
  std::optional<PendingRequest> pending_request_;
  uint64_t last_request_id_ = 0;
  absl::flat_hash_map<std::string, runtime::MonotonicTime> unresponsive_until_;  // by node id
  runtime::Timer timeout_;
  // Callbacks that may outlive this object hold a weak pointer to it.
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace posthatch::control
