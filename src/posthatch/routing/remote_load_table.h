#pragma once

#include <cstdint>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "posthatch/routing/load.h"
#include "posthatch/routing/routing.pb.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::routing {

// The loads of other gateways and of zones, as received. A sender that has sent no report for
// `entry_ttl` is ignored. Owned by LoadReporter; event loop thread only.
class RemoteLoadTable {
 public:
  RemoteLoadTable(const runtime::Clock* clock, runtime::Duration entry_ttl)
      : clock_(clock), entry_ttl_(entry_ttl) {}

  // Applies a report from gateway `from_node`, of its load or of a zone's total load. Reports that
  // are not newer than the last one of the same incarnation are ignored; a new incarnation replaces
  // all loads of the sender.
  void Apply(const std::string& from_node, const LoadReport& report);
  // Removes expired senders.
  void EvictExpired();

  // Sum of the loads of all gateways and zones at a worker. No load is included twice: an
  // aggregator has the loads of its zone's gateways one by one, and only the totals of the other
  // zones; any other gateway receives each load either from its gateway or within a zone's total.
  Load Total(const std::string& worker_id) const;
  // Whether the total load of `zone` is known; it includes this gateway's load.
  bool HasZone(const std::string& zone) const;
  // Adds the loads of all gateways to `sum`, without the zones' totals.
  void AddGatewayLoads(LoadMap* sum) const;
  // Calls `visit(zone, loads)` for each zone, expired or not.
  template <typename Visitor>
  void VisitZones(Visitor visit) const {
    for (const auto& [zone, source] : zones_) visit(zone, source.loads);
  }

 private:
  struct Source {
    uint64_t incarnation = 0;
    uint64_t report = 0;  // number of the newest report
    runtime::MonotonicTime received_at;
    LoadMap loads;
  };
  using Sources = absl::flat_hash_map<std::string, Source>;

  void ApplyTo(Source* source, const LoadReport& report) const;
  bool IsCurrent(const Source& source) const;

  const runtime::Clock* const clock_;
  const runtime::Duration entry_ttl_;
  Sources gateways_;  // keyed by node id
  Sources zones_;     // keyed by zone; totals reported by aggregators
};

}  // namespace posthatch::routing
