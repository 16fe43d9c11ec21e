#pragma once

#include <functional>
#include <vector>

#include "posthatch/gateway/caller_api.h"
#include "posthatch/gateway/gateway_context.h"
#include "posthatch/util/lifetime.h"

namespace posthatch::gateway {

// The request path of posthatchd, for callers of posthatch's own API (docs/API.md): admits, routes
// and relays requests to workers and services. Gateways on the users' platform (posthatch-platform)
// use routing/ instead; both paths share look-ups and metrics helpers. Owned by the process; all
// constructor arguments outlive it. Event loop thread only.
class Gateway : private control::InventoryWatchHost {
 public:
  Gateway(runtime::Runtime* runtime, GatewayOptions options, control::FleetView* view,
          control::ControlClient* control, index::PrefixLocator* locator);
  ~Gateway() override;
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Serves the paths in docs/API.md, "Callers"; responds with 404 to any other path.
  void HandleRequest(http::Request request, std::shared_ptr<http::ResponseWriter> writer);
  // Rejects new requests with `draining`, waits for those in progress, then calls `done`.
  void Drain(std::function<void()> done);
  // Whether requests can be served: valid lease, configuration present, not draining.
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
  util::Lifetime lifetime_;  // guards the listener, which the view can't remove
};

}  // namespace posthatch::gateway
