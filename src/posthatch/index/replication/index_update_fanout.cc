#include "posthatch/index/replication/index_update_fanout.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace posthatch::index {

IndexUpdateFanout::IndexUpdateFanout(runtime::Runtime* runtime, IndexUpdateFanoutOptions options,
                                     Peers peers)
    : runtime_(runtime),
      options_(std::move(options)),
      peers_(std::move(peers)),
      relay_timer_(runtime->timers) {}

IndexUpdateFanout::Plan IndexUpdateFanout::PlanRecipients() const {
  Plan plan;
  for (IndexPeer& peer : peers_()) plan.relayed_zones[peer.zone].push_back(std::move(peer));
  for (auto zone = plan.relayed_zones.begin(); zone != plan.relayed_zones.end();) {
    if (zone->second.size() >= options_.min_gateways_for_relay) {
      ++zone;
      continue;
    }
    for (IndexPeer& peer : zone->second) plan.direct.push_back(std::move(peer.endpoint));
    zone = plan.relayed_zones.erase(zone);
  }
  return plan;
}

size_t IndexUpdateFanout::recipients() const {
  const Plan plan = PlanRecipients();
  return plan.direct.size() + plan.relayed_zones.size();
}

const IndexPeer& IndexUpdateFanout::RelayFor(const std::string& holder,
                                             std::vector<IndexPeer>* zone) const {
  const auto select_by_hash = [zone](uint64_t seed, size_t count) {
    const auto rank = [seed](const IndexPeer& peer) {
      return XXH3_64bits_withSeed(peer.node_id.data(), peer.node_id.size(), seed);
    };
    std::partial_sort(
        zone->begin(), zone->begin() + static_cast<std::ptrdiff_t>(count), zone->end(),
        [&rank](const auto& left, const auto& right) { return rank(left) < rank(right); });
    zone->resize(count);
  };
  // Selects the relays of the zone, the same for all workers, and then one of them for this worker.
  select_by_hash(0, std::max<size_t>(1, zone->size() / options_.gateways_per_relay));
  select_by_hash(XXH3_64bits(holder.data(), holder.size()), 1);
  return zone->front();
}

size_t IndexUpdateFanout::Send(const IndexUpdate& update) {
  Plan plan = PlanRecipients();
  IndexMessage message;
  *message.mutable_update() = update;
  const std::string payload = message.SerializeAsString();
  for (const std::string& endpoint : plan.direct) SendMessage(endpoint, payload);
  if (plan.relayed_zones.empty()) return payload.size();
  IndexMessage for_relays;
  *for_relays.mutable_to_forward() = update;
  const std::string relay_payload = for_relays.SerializeAsString();
  for (auto& [zone, gateways] : plan.relayed_zones) {
    SendMessage(RelayFor(update.holder(), &gateways).endpoint, relay_payload);
  }
  return payload.size();
}

void IndexUpdateFanout::Forward(uint64_t from_incarnation, const IndexUpdate& update) {
  RelayedUpdate* relayed_update = pending_.add_updates();
  relayed_update->set_from_incarnation(from_incarnation);
  *relayed_update->mutable_update() = update;
  ++relayed_;
  if (relay_timer_.running()) return;
  const std::vector<IndexPeer> peers = peers_();
  const auto in_zone = std::count_if(peers.begin(), peers.end(), [this](const IndexPeer& peer) {
    return peer.zone == options_.zone;
  });
  const size_t factor =
      std::max<size_t>(1, static_cast<size_t>(in_zone) / options_.gateways_at_period);
  relay_timer_.Start(options_.relay_period * static_cast<int64_t>(factor),
                     [this] { FlushRelayed(); });
}

void IndexUpdateFanout::FlushRelayed() {
  IndexMessage message;
  message.mutable_relayed()->Swap(&pending_);
  pending_.Clear();
  const std::string payload = message.SerializeAsString();
  for (const IndexPeer& peer : peers_()) {
    if (peer.zone == options_.zone) SendMessage(peer.endpoint, payload);
  }
}

void IndexUpdateFanout::SendMessage(const std::string& endpoint, const std::string& payload) {
  runtime_->transport->Send(endpoint, runtime::SERVICE_INDEX, payload, runtime::Delivery::kStream);
}

}  // namespace posthatch::index
