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

// What requests in progress work with. Owned by Gateway and outlives every request.
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

  // Why nothing may be decided now, if so: no lease, or the list is too old and was not asked for
  // anew. Asked right before every dispatch.
  std::optional<ApiError> FleetStateError() const;
  // Why the caller of an admitted request may no longer be served, if so: its key was revoked, or
  // names another tenant now.
  std::optional<ApiError> AuthorizationError(const CallerRequest& call) const;
  // A new nonce: 128 random bits, hexadecimal.
  std::string NewNonce() const;
};

// A caller's request after authentication and admission.
struct CallerRequest {
  http::Request request;
  std::shared_ptr<http::ResponseWriter> writer;
  std::string request_id;       // the caller's X-Request-Id, or one of ours
  std::string idempotency_key;  // empty if there is none
  std::shared_ptr<const control::Tenant> tenant;
  AdmissionSlot slot;
  runtime::MonotonicTime received;
  runtime::MonotonicTime deadline;
};

// Answers with `error` and counts it.
void SendError(const GatewayContext& context, http::ResponseWriter* writer, const ApiError& error);

// The fields that every dispatch carries (docs/BACKENDS.md).
void AddAttemptHeaders(const GatewayContext& context, const CallerRequest& call,
                       const std::string& nonce, uint32_t attempt_number, http::Headers* headers);

// The caller's answer made of a back end's: status, content type and body.
http::Response MakeCallerResponse(const CallerRequest& call, http::Response backend_response);

}  // namespace posthatch::gateway
