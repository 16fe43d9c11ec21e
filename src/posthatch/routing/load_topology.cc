#include "posthatch/routing/load_topology.h"

#include <algorithm>
#include <set>
#include <utility>

namespace posthatch::routing {

LoadTopology::LoadTopology(const LoadReporterOptions* options, std::string self,
                           std::vector<LoadPeer> peers)
    : options_(options), self_(std::move(self)), peers_(std::move(peers)) {}

bool LoadTopology::ZoneReportsDirectly() const {
  const auto in_zone = std::count_if(peers_.begin(), peers_.end(), [this](const LoadPeer& peer) {
    return peer.zone == options_->zone;
  });
  return static_cast<size_t>(in_zone) + 1 <= options_->max_direct_gateways_per_zone;
}

std::vector<std::string> LoadTopology::ReportRecipients() const {
  std::vector<std::string> endpoints;
  if (!UsesAggregators()) {
    for (const LoadPeer& peer : peers_) endpoints.push_back(peer.endpoint);
    return endpoints;
  }
  if (ZoneReportsDirectly()) return ZoneMembers();
  const std::string aggregator = AggregatorOf(options_->zone);
  if (!aggregator.empty()) endpoints.push_back(aggregator);
  return endpoints;
}

std::vector<std::string> LoadTopology::ZoneMembers() const {
  std::vector<std::string> endpoints;
  for (const LoadPeer& peer : peers_) {
    if (peer.zone == options_->zone) endpoints.push_back(peer.endpoint);
  }
  return endpoints;
}

std::vector<std::string> LoadTopology::OtherAggregators() const {
  std::set<std::string> zones;
  for (const LoadPeer& peer : peers_) {
    if (peer.zone != options_->zone) zones.insert(peer.zone);
  }
  std::vector<std::string> endpoints;
  endpoints.reserve(zones.size());
  for (const std::string& zone : zones) endpoints.push_back(AggregatorOf(zone));
  return endpoints;
}

std::string LoadTopology::AggregatorOf(const std::string& zone) const {
  const LoadPeer* lowest = nullptr;
  for (const LoadPeer& peer : peers_) {
    if (peer.zone != zone) continue;
    if (lowest == nullptr || peer.node_id < lowest->node_id) lowest = &peer;
  }
  const bool is_self = zone == options_->zone && (lowest == nullptr || self_ < lowest->node_id);
  return is_self || lowest == nullptr ? std::string() : lowest->endpoint;
}

}  // namespace posthatch::routing
