#pragma once

#include <string>
#include <vector>

#include "posthatch/routing/load_reporter_options.h"

namespace posthatch::routing {

// A gateway of the fleet other than this one.
struct LoadPeer {
  std::string node_id;
  std::string zone;
  std::string endpoint;  // internal, "ip:port"
};

// Which gateways report loads to which, given the gateways that are live at one moment.
//
// In a small fleet, every gateway reports to every other one. In a large fleet, such reports would
// be most of what gateways send: each gateway reports only to the others of its zone, and the
// gateway with the lowest id of each zone is the zone's aggregator. In a large zone, the members
// report only to the aggregator. There is no election: gateways with different views of the fleet
// cost a few more messages. Immutable; refers to its options.
class LoadTopology {
 public:
  // `peers`: the live gateways except this one, whose id is `self`.
  LoadTopology(const LoadReporterOptions* options, std::string self, std::vector<LoadPeer> peers);

  // Whether loads of other zones are received through aggregators.
  bool UsesAggregators() const { return peers_.size() + 1 > options_->max_direct_gateways; }
  // Whether this gateway is its zone's aggregator; defined in fleets of any size.
  bool IsAggregator() const { return AggregatorOf(options_->zone).empty(); }
  // Whether the gateways of this zone report to each other directly.
  bool ZoneReportsDirectly() const;

  // Endpoints that receive this gateway's reports.
  std::vector<std::string> ReportRecipients() const;
  // Endpoints of the other gateways of this zone.
  std::vector<std::string> ZoneMembers() const;
  // Endpoints of the other zones' aggregators, sorted by zone.
  std::vector<std::string> OtherAggregators() const;

 private:
  // Endpoint of a zone's aggregator; empty if it is this gateway, or there is none.
  std::string AggregatorOf(const std::string& zone) const;

  const LoadReporterOptions* const options_;
  const std::string self_;
  const std::vector<LoadPeer> peers_;
};

}  // namespace posthatch::routing
