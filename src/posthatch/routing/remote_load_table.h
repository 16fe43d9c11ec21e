#pragma once

#include <cstdint>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "posthatch/routing/load.h"
#include "posthatch/routing/routing.pb.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::routing {

// The loads of other gateways and of zones, as received. A sender that has sent no report for the
// time of an entry counts for nothing. Owned by LoadReporter; event loop thread only.
class RemoteLoadTable {
 public:
  RemoteLoadTable(const runtime::Clock* clock, runtime::Duration entry_ttl)
      : clock_(clock), entry_ttl_(entry_ttl) {}

  // Applies a report of gateway `from_node`, of its own load or of a zone's. Reports that are not
  // newer than the last one of the same incarnation are ignored; a new incarnation replaces all.
  void Apply(const std::string& from_node, const LoadReport& report);
  // Drops senders that have expired.
  void EvictExpired();

  // Sum of all gateways and zones at a worker. An aggregator has its zone's gateways one by one and
  // only the other zones as such; any other gateway has each load by one of both ways.
  Load Total(const std::string& worker_id) const;
  // Whether the load of `zone` as such is known, this gateway's part included.
  bool HasZone(const std::string& zone) const;
  // Adds the gateways' loads, without zones.
  void AddGatewayLoads(LoadMap* sum) const;
  // Calls `visit(zone, loads)` for each zone, expired or not.
  template <typename Visitor>
  void VisitZones(Visitor visit) const {
    for (const auto& [zone, source] : zones_) visit(zone, source.loads);
  }

 private:
  struct Source {
    uint64_t incarnation = 0;
    uint64_t report = 0;  // number of the newest one
    runtime::MonotonicTime received_at;
    LoadMap loads;
  };
  using Sources = absl::flat_hash_map<std::string, Source>;

  void ApplyTo(Source* source, const LoadReport& report) const;
  bool IsCurrent(const Source& source) const;

  const runtime::Clock* const clock_;
  const runtime::Duration entry_ttl_;
  Sources gateways_;  // by node id
  Sources zones_;     // by zone, as aggregators report them
};

}  // namespace posthatch::routing
