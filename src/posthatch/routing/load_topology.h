#pragma once

#include <string>
#include <vector>

#include "posthatch/routing/load_reporter_options.h"

namespace posthatch::routing {

// Another gateway of the fleet.
struct LoadPeer {
  std::string node_id;
  std::string zone;
  std::string endpoint;  // internal, "ip:port"
};

// Who reports loads to whom, among the gateways that are alive at one moment.
//
// In a small fleet every gateway reports to every other one. In a large one that would be most of
// what gateways send: there each reports to the others of its zone, and the gateway with the lowest
// id of each zone is the zone's aggregator. In a large zone the members report to the aggregator
// alone. Nobody is elected: gateways that see the fleet differently cost a few more messages.
// Immutable; refers to its options.
class LoadTopology {
 public:
  // `peers`: the live gateways without this one, whose id is `self`.
  LoadTopology(const LoadReporterOptions* options, std::string self, std::vector<LoadPeer> peers);

  // Whether other zones' loads come by way of aggregators.
  bool UsesAggregators() const { return peers_.size() + 1 > options_->max_direct_gateways; }
  // Whether this gateway is its zone's aggregator; one is determined in fleets of any size.
  bool IsAggregator() const { return AggregatorOf(options_->zone).empty(); }
  // Whether the gateways of this zone report to each other directly.
  bool ZoneReportsDirectly() const;

  // Endpoints that this gateway's own reports go to.
  std::vector<std::string> ReportRecipients() const;
  // Endpoints of the other gateways of this zone.
  std::vector<std::string> ZoneMembers() const;
  // Endpoints of the other zones' aggregators, by the zones' order.
  std::vector<std::string> OtherAggregators() const;

 private:
  // Endpoint of a zone's aggregator; empty if it is this gateway, or there is none.
  std::string AggregatorOf(const std::string& zone) const;

  const LoadReporterOptions* const options_;
  const std::string self_;
  const std::vector<LoadPeer> peers_;
};

}  // namespace posthatch::routing
