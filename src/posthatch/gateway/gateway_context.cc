#include "posthatch/gateway/gateway_context.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "posthatch/gateway/header_names.h"

namespace posthatch::gateway {

std::optional<ApiError> GatewayContext::FleetStateError() const {
  if (!view->LeaseValid()) {
    return ApiError{ErrorCode::kNoLease, "this gateway holds no session lease at the moment",
                    Executed::kNo, 1};
  }
  if (!inventory->HasUsableInventory()) {
    return ApiError{ErrorCode::kNoLease, "this gateway's list of back ends is too old",
                    Executed::kNo, 1};
  }
  return std::nullopt;
}

std::optional<ApiError> GatewayContext::AuthorizationError(const CallerRequest& call) const {
  const auto now = tenants->Authenticate(call.request.headers.Get(header::kAuthorization));
  if (now != nullptr && now->name() == call.tenant->name()) return std::nullopt;
  return ApiError{ErrorCode::kUnauthorized, "the key is no longer valid", Executed::kNo};
}

std::string GatewayContext::NewNonce() const {
  const uint64_t high = (*runtime->random)();
  const uint64_t low = (*runtime->random)();
  return absl::StrCat(absl::Hex(high, absl::kZeroPad16), absl::Hex(low, absl::kZeroPad16));
}

void SendError(const GatewayContext& context, http::ResponseWriter* writer, const ApiError& error) {
  context.metrics->responses.Increment(std::string(ErrorCodeName(error.code)));
  writer->SendResponse(MakeErrorResponse(error));
}

void AddAttemptHeaders(const GatewayContext& context, const CallerRequest& call,
                       const std::string& nonce, uint32_t attempt_number, http::Headers* headers) {
  const runtime::Duration time_left = call.deadline - context.runtime->clock->Now();
  const int64_t time_left_milliseconds = std::max<int64_t>(
      0, std::chrono::duration_cast<std::chrono::milliseconds>(time_left).count());
  headers->Add(header::kContentType, "application/json");
  headers->Add(header::kRequestId, call.request_id);
  headers->Add(header::kAttempt, nonce);
  headers->Add(header::kAttemptNumber, std::to_string(attempt_number));
  headers->Add(header::kGateway, context.options->gateway_id);
  headers->Add(header::kTenant, call.tenant->name());
  headers->Add(header::kDeadlineMs, std::to_string(time_left_milliseconds));
  if (!call.idempotency_key.empty()) headers->Add(header::kIdempotencyKey, call.idempotency_key);
}

http::Response MakeCallerResponse(const CallerRequest& call, http::Response backend_response) {
  http::Response response;
  response.status = backend_response.status;
  const std::string_view content_type = backend_response.headers.Get(header::kContentType);
  response.headers.Add(header::kContentType,
                       content_type.empty() ? "application/json" : content_type);
  response.headers.Add(header::kRequestId, call.request_id);
  response.body = std::move(backend_response.body);
  return response;
}

}  // namespace posthatch::gateway
