#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "posthatch/control/client/control_client.h"
#include "posthatch/control/inventory/inventory_watch.h"
#include "posthatch/control/state/fleet_sections.h"
#include "posthatch/gateway/live_gateway_count.h"
#include "posthatch/routing/route_table.h"
#include "posthatch/routing/routing_switches.h"
#include "posthatch/routing/store_health_checker.h"
#include "posthatch/routing/traffic_context.h"
#include "posthatch/routing/traffic_request.h"
#include "posthatch/routing/weighted_split.h"

namespace posthatch::routing {

struct TrafficGatewayOptions {
  std::string gateway_id;
  std::string zone;
  std::string inventory_endpoint;
  const control::InventoryFormat* inventory_format = nullptr;
  const CallFormat* call_format = nullptr;
  double retry_budget_ratio = 0.2;
  double retry_budget_slack = 20;
  double inventory_reads_per_second = 4;
  runtime::Duration revision_deadline = std::chrono::seconds(12);
  // Maximum time from when the inventory shows a worker as draining until it gets no new work; must
  // be above 1.5 s.
  runtime::Duration drain_bound = std::chrono::seconds(3);
  const index::KvEventFormat* cache_event_format = index::NativeKvEventFormat();
  RoutingSwitches switches;
  // Maximum number of requests in flight; further ones are rejected.
  size_t max_concurrent_requests = 4096;
  // Returns the ids of the fleet's live gateways, including this one; called often.
  std::function<std::vector<std::string>()> gateways;
  // Returns the other live gateways; called often.
  LoadReporter::Peers peers;
};

// The data plane for routed traffic, as posthatch-platform's gateways serve it: finds the route,
// tenant and service of each call and hands it to a TrafficRequest (docs/design-docs/platform.md).
// Continues with the last configuration when no controller can be reached. (gateway::Gateway is the
// other data plane, for posthatch's own API.) Owned by the process; all constructor arguments must
// outlive it. Event loop thread only.
class TrafficGateway : private TrafficRequestOwner, private control::InventoryWatchHost {
 public:
  TrafficGateway(runtime::Runtime* runtime, TrafficGatewayOptions options, control::FleetView* view,
                 index::PrefixLocator* locator, const invalidation::ObjectTrust* trust);
  ~TrafficGateway() override;
  TrafficGateway(const TrafficGateway&) = delete;
  TrafficGateway& operator=(const TrafficGateway&) = delete;

  void Start();
  void HandleRequest(http::Request request, std::shared_ptr<http::ResponseWriter> writer);
  // Whether calls can be served: a configuration is known.
  bool Ready() const { return configuration_ != nullptr; }
  // Calls `done` once no request runs; new ones are still accepted.
  void NotifyWhenIdle(std::function<void()> done);

 private:
  LoadReporterOptions MakeLoadReporterOptions() const;
  control::InventoryWatchOptions MakeInventoryWatchOptions() const;
  // control::InventoryWatchHost. The inventory is not read without a configuration: nothing is
  // served then, and the first grant includes the inventory.
  uint32_t LiveGateways() override { return live_gateways_.Get(); }
  std::vector<control::ZonePeer> ZonePeers() const override;
  bool NeedsInventory() const override { return configuration_ != nullptr; }
  void OnLocalSnapshotChange() override { UpdatePool(); }
  void OnInventoryRead(control::InventoryReadResult result) override;
  StoreHealthChecker::Dependencies MakeStoreHealthCheckerDependencies();
  RetryBudgetOptions MakeRetryBudgetOptions();
  void OnStateChanged();
  // Whether a section has changed since `indices_`.
  bool Changed(const control::SectionIndices& now, control::Section section) const {
    return control::IndexOf(now, section) != control::IndexOf(indices_, section);
  }
  void UpdatePool();
  void CheckRevisionDeadlines();
  void Retire(TrafficRequest* request) override;
  void DestroyLater(std::unique_ptr<http::Call> call) override;
  void Sweep();
  void SendLocalReply(http::ResponseWriter* writer, LocalReplyReason reason, std::string detail);
  // Why a call is not admitted.
  struct Rejection {
    LocalReplyReason reason = LocalReplyReason::kUnavailable;
    std::string detail;  // human-readable
  };

  // Fills in every field of `admitted` except request, writer and received_at; or returns why the
  // call is rejected.
  std::optional<Rejection> Admit(const http::Request& request, AdmittedCall* admitted);
  // The service for the next call of a route, by its weights; null if there is none.
  const control::TrafficService* PickService(const control::TrafficRoute& route);

  runtime::Runtime* const runtime_;
  const TrafficGatewayOptions options_;
  control::FleetView* const view_;
  gateway::LiveGatewayCount live_gateways_;
  TrafficMetrics metrics_;
  SlowStartLimiter slow_start_limiter_;
  LoadReporter load_reporter_;
  WorkerPool pool_;
  Placer placer_;
  PrefixStores stores_;
  InFlightPrefills in_flight_prefills_;
  StoreHealthChecker store_health_checker_;
  RetryBudget retry_budget_;
  gateway::FleetLookup lookup_;
  control::InventoryWatch inventory_;
  TrafficContext context_;

  // The applied configuration, which routes_ points into; null while none is known.
  std::shared_ptr<const control::TrafficConfiguration> configuration_;
  RouteTable routes_;
  WeightedSplit split_;
  uint64_t traffic_index_ = 0;
  // Indices of the fleet state's sections that were last applied.
  control::SectionIndices indices_{};

  absl::flat_hash_map<TrafficRequest*, std::shared_ptr<TrafficRequest>> requests_;
  // Requests and calls that ended in this turn of the event loop; destroyed in the next one.
  std::vector<std::shared_ptr<TrafficRequest>> ended_requests_;
  std::vector<std::unique_ptr<http::Call>> ended_calls_;
  runtime::Timer sweep_timer_;
  runtime::Timer refresh_timer_;
  std::function<void()> on_idle_;
  // Expires with this object; lets the listener, which stays registered with the view, detect that.
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace posthatch::routing
