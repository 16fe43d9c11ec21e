#pragma once

#include <memory>
#include <optional>
#include <string>

#include "posthatch/control/client/control_client.h"
#include "posthatch/control/inventory/inventory_watch.h"
#include "posthatch/gateway/admission_control.h"
#include "posthatch/gateway/api_error.h"
#include "posthatch/gateway/backend_directory.h"
#include "posthatch/gateway/delivery_record_client.h"
#include "posthatch/gateway/fleet_lookup.h"
#include "posthatch/gateway/gateway_metrics.h"
#include "posthatch/gateway/gateway_options.h"
#include "posthatch/gateway/link_speed_estimator.h"
#include "posthatch/gateway/request_registry.h"
#include "posthatch/gateway/retry_budget.h"
#include "posthatch/gateway/tenant_directory.h"
#include "posthatch/gateway/worker_router.h"
#include "posthatch/http/http.h"
#include "posthatch/index/prefix_locator.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::gateway {

struct CallerRequest;

// The parts of the gateway that requests use. Owned by Gateway; outlives every request.
struct GatewayContext {
  runtime::Runtime* runtime = nullptr;
  const GatewayOptions* options = nullptr;
  control::FleetView* view = nullptr;
  index::PrefixLocator* locator = nullptr;
  GatewayMetrics* metrics = nullptr;
  FleetLookup* lookup = nullptr;
  TenantDirectory* tenants = nullptr;
  AdmissionControl* admission = nullptr;
  BackendDirectory* backends = nullptr;
  WorkerRouter* router = nullptr;
  RetryBudget* retry_budget = nullptr;
  LinkSpeedEstimator* links = nullptr;
  RequestRegistry* requests = nullptr;
  control::InventoryWatch* inventory = nullptr;
  DeliveryRecordClient* deliveries = nullptr;

  // The error if no routing decision may be made now: no lease, or an inventory that is too old.
  // Checked immediately before every dispatch.
  std::optional<ApiError> FleetStateError() const;
  // The error if the caller of an admitted request may no longer be served, since its key was
  // revoked or now belongs to another tenant.
  std::optional<ApiError> AuthorizationError(const CallerRequest& call) const;
  // A new nonce: 128 random bits, hexadecimal.
  std::string NewNonce() const;
};

// A caller's request. The tenant is set by authentication, the slot by admission.
struct CallerRequest {
  http::Request request;
  std::shared_ptr<http::ResponseWriter> writer;
  std::string request_id;       // the caller's X-Request-Id, or a generated one
  std::string idempotency_key;  // empty if the request has none
  std::shared_ptr<const control::Tenant> tenant;
  AdmissionSlot slot;
  runtime::MonotonicTime received;
  runtime::MonotonicTime deadline;
};

// Sends `error` as the response and counts it in the metrics.
void SendError(const GatewayContext& context, http::ResponseWriter* writer, const ApiError& error);

// Adds the header fields that every dispatch carries (docs/BACKENDS.md).
void AddAttemptHeaders(const GatewayContext& context, const CallerRequest& call,
                       const std::string& nonce, uint32_t attempt_number, http::Headers* headers);

// Makes the response to the caller from the status, content type and body of a back end's response.
http::Response MakeCallerResponse(const CallerRequest& call, http::Response backend_response);

}  // namespace posthatch::gateway
