#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "posthatch/routing/in_flight_prefills.h"
#include "posthatch/routing/load.h"
#include "posthatch/routing/load_report_sender.h"
#include "posthatch/routing/load_reporter_options.h"
#include "posthatch/routing/load_topology.h"
#include "posthatch/routing/remote_load_table.h"
#include "posthatch/routing/reported_loads.h"
#include "posthatch/routing/store_health_records.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::routing {

// The role of a zone's aggregator in a large fleet. From Start until another gateway becomes the
// zone's aggregator or the fleet becomes small, it sends every `aggregation_period`: its zone's
// load to the other aggregators; and to its zone's gateways the other zones' loads, the health of
// the stores and, in a large zone, the zone's total load. Each report includes the prefill starts
// received since the last one. Owned by LoadReporter; event loop thread only.
class LoadAggregator {
 public:
  // The inputs of the aggregation, and the sender of the reports; all must outlive the aggregator.
  struct Sources {
    const LoadMap* local_loads = nullptr;
    const RemoteLoadTable* remote_loads = nullptr;
    StoreHealthRecords* store_health = nullptr;
    LoadReportSender* sender = nullptr;
    std::function<LoadTopology()> topology;
  };

  LoadAggregator(runtime::TimerService* timers, const LoadReporterOptions* options,
                 Sources sources);

  // Called when this gateway is its zone's aggregator. No effect if running already.
  void Start();
  bool running() const { return timer_.running(); }
  // Makes the next reports include all loads, not just changes.
  void RequestFullReport() { full_report_due_ = true; }
  // Forwards prefill starts of this gateway.
  void ForwardLocalPrefills(const std::vector<PrefillStart>& starts);
  // Forwards a prefill start of another gateway of `zone`. Dropped if not running, or if too many
  // are pending.
  void ForwardPrefill(const std::string& zone, PrefillStart start);

 private:
  void SendAggregates();
  void SendZoneReports(const LoadTopology& topology, bool full);
  // Makes a report of the changes of a zone's load, with the zone's pending prefill starts.
  LoadReport MakeZoneReport(const std::string& zone, const LoadMap& loads, bool full);
  LoadMap LocalZoneLoad() const;
  // Whether the difference is large enough to be reported to other zones.
  bool DiffersForRemoteZones(const Load& current, const Load& reported) const;

  const LoadReporterOptions* const options_;
  const Sources sources_;
  absl::flat_hash_map<std::string, ReportedLoads> reported_;           // keyed by zone
  std::map<std::string, std::vector<PrefillStart>> pending_prefills_;  // keyed by zone
  bool full_report_due_ = false;
  runtime::Timer timer_;
};

}  // namespace posthatch::routing
