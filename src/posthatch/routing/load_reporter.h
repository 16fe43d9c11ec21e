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

// Reports this gateway's load at each worker to the other gateways, and adds up what they report:
// without it, each gateway sees only its own small part of a worker's queue. Reports also carry
// prefill starts and, from aggregators, the health of stores. LoadTopology says who reports to
// whom, LoadAggregator does what aggregators do beside their own reports.
//
// A prompt that waits for its prefill delays others for a long time: that is reported within
// milliseconds. Everything else is reported from time to time, and all of it at each refresh.
// Reports may be lost; a receiver's loads lag, and expire with their sender.
//
// Takes SERVICE_TRAFFIC of the runtime's transport. Owned by TrafficGateway; event loop thread
// only.
class LoadReporter {
 public:
  using Peers = std::function<std::vector<LoadPeer>()>;

  // `peers`: the live gateways without this one; called for each report.
  LoadReporter(runtime::Runtime* runtime, LoadReporterOptions options, Peers peers);
  ~LoadReporter();
  LoadReporter(const LoadReporter&) = delete;
  LoadReporter& operator=(const LoadReporter&) = delete;

  // This gateway's load at a worker has changed.
  void SetLocalLoad(const std::string& worker_id, const Load& load);
  // The other gateways' load there.
  Load RemoteLoad(const std::string& worker_id) const;
  // Whether other zones' loads come by way of aggregators, and so later.
  bool RemoteZoneLoadIsDelayed() const { return remote_zone_load_is_delayed_; }

  // Tells the others that a prompt's shared segments are being prefilled at a worker. Dropped where
  // too many wait for the next report.
  void AnnouncePrefill(PrefillStart start);
  // Called with what other gateways announce.
  using PrefillObserver = std::function<void(const PrefillStart&)>;
  void SetPrefillObserver(PrefillObserver observer) { prefill_observer_ = std::move(observer); }

  // Whether this gateway is its zone's aggregator, in fleets of any size.
  bool IsAggregator() const { return Topology().IsAggregator(); }
  // As an aggregator: a store was found to be healthy or not. A change is reported at once.
  void RecordStoreHealth(const std::string& endpoint, bool alive);
  // Called with what aggregators report of stores, this one included.
  using StoreHealthObserver = std::function<void(const std::string& endpoint, bool alive)>;
  void SetStoreHealthObserver(StoreHealthObserver observer) {
    store_health_observer_ = std::move(observer);
  }

 private:
  LoadTopology Topology() const;
  // Sends a report after the period of such a change, unless one is due sooner.
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
  ReportedLoads reported_;  // of local_loads_
  RemoteLoadTable remote_loads_;
  StoreHealthRecords store_health_;
  std::vector<PrefillStart> local_prefills_;  // since the last report
  LoadAggregator aggregator_;
  StoreHealthObserver store_health_observer_;
  PrefillObserver prefill_observer_;
  bool remote_zone_load_is_delayed_ = false;
  bool refresh_due_ = false;
  runtime::MonotonicTime next_send_at_;  // not sooner, by `datagrams_per_second`
  bool send_is_urgent_ = false;
  runtime::Timer send_timer_;
  runtime::Timer refresh_timer_;
};

}  // namespace posthatch::routing
