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

// The role of a zone's aggregator in a large fleet. From Start until it finds another gateway to be
// the aggregator it sends, every `aggregation_period`: its zone's load to the other aggregators;
// to its zone's gateways the other zones' loads, the stores' health, and in a large zone the zone's
// own load; with each the prefill starts that came since. Owned by LoadReporter; event loop thread
// only.
class LoadAggregator {
 public:
  // What it aggregates, and by whom it sends; all outlive it.
  struct Sources {
    const LoadMap* local_loads = nullptr;
    const RemoteLoadTable* remote_loads = nullptr;
    StoreHealthRecords* store_health = nullptr;
    LoadReportSender* sender = nullptr;
    std::function<LoadTopology()> topology;
  };

  LoadAggregator(runtime::TimerService* timers, const LoadReporterOptions* options,
                 Sources sources);

  // This gateway is the aggregator. No effect while it runs.
  void Start();
  bool running() const { return timer_.running(); }
  // The next reports tell everything, not just changes.
  void RequestFullReport() { full_report_due_ = true; }
  // Forwards prefill starts of this gateway.
  void ForwardLocalPrefills(const std::vector<PrefillStart>& starts);
  // Forwards a prefill start of another gateway of `zone`. Dropped while it doesn't run, and where
  // too many wait.
  void ForwardPrefill(const std::string& zone, PrefillStart start);

 private:
  void SendAggregates();
  void SendZoneReports(const LoadTopology& topology, bool full);
  // The changes of a zone's load, with its prefill starts.
  LoadReport MakeZoneReport(const std::string& zone, const LoadMap& loads, bool full);
  LoadMap LocalZoneLoad() const;
  // Whether gateways of other zones must know the difference.
  bool DiffersForRemoteZones(const Load& current, const Load& reported) const;

  const LoadReporterOptions* const options_;
  const Sources sources_;
  absl::flat_hash_map<std::string, ReportedLoads> reported_;           // by zone
  std::map<std::string, std::vector<PrefillStart>> pending_prefills_;  // by zone
  bool full_report_due_ = false;
  runtime::Timer timer_;
};

}  // namespace posthatch::routing
