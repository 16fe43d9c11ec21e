#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "posthatch/index/index.pb.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::index {

// A gateway of the fleet to which this one sends index updates.
struct IndexPeer {
  std::string node_id;
  std::string zone;
  std::string endpoint;  // internal, "ip:port"
};

struct IndexUpdateFanoutOptions {
  std::string zone;  // zone of this gateway
  // A zone with fewer gateways gets updates directly: there a relay saves little and may fail.
  size_t min_gateways_for_relay = 16;
  // Gateways of a zone for each of its relays: few relays, so that each forwards large batches.
  size_t gateways_per_relay = 4;
  // How long a relay batches updates with up to `gateways_at_period` gateways in its zone; longer
  // in proportion in a larger zone.
  runtime::Duration relay_period = std::chrono::milliseconds(80);
  size_t gateways_at_period = 8;
};

// Sends this gateway's index updates to all others, and forwards others' updates as a relay.
//
// A large zone, this one included, gets updates through a relay, one of its gateways: an update
// crosses between zones once for each zone rather than once for each gateway, and a gateway gets
// the updates of many workers in one message. Some of a zone's gateways are relays, each for some
// of the workers by rendezvous hashing. Updates keep their numbers when relayed: one that is lost
// with its relay, or overtaken when the relay changes, is a gap at the receivers, which drop their
// entries of that worker (IndexUpdateReceiver). Owned by IndexNode; event loop thread only.
class IndexUpdateFanout {
 public:
  using Peers = std::function<std::vector<IndexPeer>()>;  // called often

  IndexUpdateFanout(runtime::Runtime* runtime, IndexUpdateFanoutOptions options, Peers peers);

  // Number of messages that one update takes at present.
  size_t recipients() const;
  // Number of other gateways in the fleet.
  size_t gateways() const { return peers_().size(); }
  // Sends an update of this gateway; returns the size of one message in bytes.
  size_t Send(const IndexUpdate& update);
  // As a relay: forwards the update of a gateway with that incarnation to this zone's gateways.
  void Forward(uint64_t from_incarnation, const IndexUpdate& update);

  uint64_t relayed() const { return relayed_; }

 private:
  // Endpoints that get updates directly, and the gateways of zones that get them by relay.
  struct Plan {
    std::vector<std::string> direct;
    std::map<std::string, std::vector<IndexPeer>> relayed_zones;
  };

  Plan PlanRecipients() const;
  const IndexPeer& RelayFor(const std::string& holder, std::vector<IndexPeer>* zone) const;
  void FlushRelayed();
  void SendMessage(const std::string& endpoint, const std::string& payload);

  runtime::Runtime* const runtime_;
  const IndexUpdateFanoutOptions options_;
  const Peers peers_;
  RelayedUpdates pending_;
  uint64_t relayed_ = 0;
  runtime::Timer relay_timer_;
};

}  // namespace posthatch::index
