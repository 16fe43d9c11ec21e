#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "posthatch/routing/in_flight_prefills.h"
#include "posthatch/routing/load.h"
#include "posthatch/routing/load_aggregator.h"
#include "posthatch/routing/load_report_sender.h"
#include "posthatch/routing/load_reporter_options.h"
#include "posthatch/routing/load_topology.h"
#include "posthatch/routing/remote_load_table.h"
#include "posthatch/routing/reported_loads.h"
#include "posthatch/routing/store_health_records.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::routing {

// Reports this gateway's load at each worker to the other gateways, and sums up the loads that they
// report: otherwise each gateway would see only its own small part of a worker's queue. Reports
// also contain prefill starts and, from aggregators, the health of stores. LoadTopology determines
// which gateways report to which; LoadAggregator sends an aggregator's additional reports.
//
// A prompt that waits for its prefill delays others for a long time, so large changes of pending
// tokens are reported within milliseconds. Other changes are reported less often, and all loads at
// each refresh. Reports may be lost; received loads lag behind, and expire when their sender stops
// reporting.
//
// Receives SERVICE_TRAFFIC from the runtime's transport. Owned by TrafficGateway; event loop thread
// only.
class LoadReporter {
 public:
  using Peers = std::function<std::vector<LoadPeer>()>;

  // `peers`: returns the live gateways except this one; called for each report.
  LoadReporter(runtime::Runtime* runtime, LoadReporterOptions options, Peers peers);
  ~LoadReporter();
  LoadReporter(const LoadReporter&) = delete;
  LoadReporter& operator=(const LoadReporter&) = delete;

  // Sets this gateway's load at a worker.
  void SetLocalLoad(const std::string& worker_id, const Load& load);
  // Returns the load of all other gateways at a worker.
  Load RemoteLoad(const std::string& worker_id) const;
  // Whether loads of other zones are received through aggregators, and so with a delay.
  bool RemoteZoneLoadIsDelayed() const { return remote_zone_load_is_delayed_; }

  // Announces to the other gateways that a prompt's shared segments are being prefilled at a
  // worker. Dropped if too many announcements are pending for the next report.
  void AnnouncePrefill(PrefillStart start);
  // Called with each prefill start that another gateway announces.
  using PrefillObserver = std::function<void(const PrefillStart&)>;
  void SetPrefillObserver(PrefillObserver observer) { prefill_observer_ = std::move(observer); }

  // Whether this gateway is its zone's aggregator, in fleets of any size.
  bool IsAggregator() const { return Topology().IsAggregator(); }
  // Records the result of this gateway's health check of a store, as an aggregator. A change is
  // reported after the urgent period, or in a large fleet with the next aggregated reports.
  void RecordStoreHealth(const std::string& endpoint, bool alive);
  // Called with the store health that aggregators report, including this gateway as an aggregator.
  using StoreHealthObserver = std::function<void(const std::string& endpoint, bool alive)>;
  void SetStoreHealthObserver(StoreHealthObserver observer) {
    store_health_observer_ = std::move(observer);
  }

 private:
  LoadTopology Topology() const;
  // Schedules a report after the urgent or the relaxed period. If one is scheduled already, it
  // stays, unless it is relaxed and the new one urgent.
  void Schedule(bool urgent);
  void Refresh();
  void Send();

  void Receive(const runtime::Envelope& envelope);
  void ReceiveReport(const std::string& from_node, const LoadReport& report);
  void ReceivePrefillStarts(const LoadReport& report);

  runtime::Runtime* const runtime_;
  const LoadReporterOptions options_;
  const Peers peers_;
  LoadReportSender sender_;
  LoadMap local_loads_;
  ReportedLoads reported_;  // values of local_loads_ as last reported
  RemoteLoadTable remote_loads_;
  StoreHealthRecords store_health_;
  std::vector<PrefillStart> local_prefills_;  // announced since the last report
  LoadAggregator aggregator_;
  StoreHealthObserver store_health_observer_;
  PrefillObserver prefill_observer_;
  bool remote_zone_load_is_delayed_ = false;
  bool refresh_due_ = false;
  runtime::MonotonicTime next_send_at_;  // earliest time allowed by `datagrams_per_second`
  bool send_is_urgent_ = false;
  runtime::Timer send_timer_;
  runtime::Timer refresh_timer_;
};

}  // namespace posthatch::routing
