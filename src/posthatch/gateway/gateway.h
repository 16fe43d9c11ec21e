#pragma once

#include <functional>
#include <vector>

#include "posthatch/gateway/caller_api.h"
#include "posthatch/gateway/gateway_context.h"
#include "posthatch/util/lifetime.h"

namespace posthatch::gateway {

// The data plane of one gateway: takes callers' requests, admits, routes and relays them. Owned by
// the process; everything given to the constructor outlives it. Event loop thread only.
class Gateway : private control::InventoryWatchHost {
 public:
  Gateway(runtime::Runtime* runtime, GatewayOptions options, control::FleetView* view,
          control::ControlClient* control, index::PrefixLocator* locator);
  ~Gateway() override;
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Handler of the callers' paths in docs/API.md; answers anything else with 404.
  void HandleRequest(http::Request request, std::shared_ptr<http::ResponseWriter> writer);
  // Refuses new requests with `draining`, lets running ones end, then calls `done`.
  void Drain(std::function<void()> done);
  // Whether requests can be served: a valid lease, a configuration, and not draining.
  bool Ready() const;
  const GatewayMetrics& metrics() const { return metrics_; }

 private:
  // control::InventoryWatchHost.
  uint32_t LiveGateways() override { return options_.live_gateways(); }
  std::vector<control::ZonePeer> ZonePeers() const override { return {}; }
  bool NeedsInventory() const override { return true; }
  void OnLocalSnapshotChange() override { UpdateBackends(); }
  void OnInventoryRead(control::InventoryReadResult result) override;

  control::InventoryWatchOptions WatchOptions() const;
  void OnStateChanged();
  void UpdateBackends();

  const GatewayOptions options_;
  control::FleetView* const view_;
  GatewayMetrics metrics_;
  FleetLookup lookup_;
  TenantDirectory tenants_;
  BackendDirectory backends_;
  LinkSpeedEstimator links_;
  WorkerRouter router_;
  RetryBudget retry_budget_;
  AdmissionControl admission_;
  control::InventoryWatch inventory_;
  DeliveryRecordClient deliveries_;
  RequestRegistry requests_;
  GatewayContext context_;
  CallerApi caller_api_;
  uint64_t configuration_index_ = 0;
  uint64_t inventory_index_ = 0;
  uint64_t evacuations_index_ = 0;
  util::Lifetime lifetime_;  // the view keeps its listeners
};

}  // namespace posthatch::gateway
