#include "posthatch/gateway/caller_api.h"

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"
#include "posthatch/gateway/delivery_request.h"
#include "posthatch/gateway/header_names.h"
#include "posthatch/gateway/inference_body.h"
#include "posthatch/gateway/inference_request.h"
#include "posthatch/gateway/service_request.h"

namespace posthatch::gateway {
namespace {

constexpr std::string_view kCompletionsPath = "/v1/completions";
constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kServicesPath = "/v1/services/";
constexpr size_t kMaxFieldLength = 128;
constexpr int kDrainRetrySeconds = 1;

// An id that is valid in a header field, a log and a record: 1 to 128 visible characters.
bool IsPlainId(std::string_view text) {
  return !text.empty() && text.size() <= kMaxFieldLength &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char character) { return absl::ascii_isgraph(character); });
}

bool IsPathName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxFieldLength &&
         std::all_of(text.begin(), text.end(), [](unsigned char character) {
           return absl::ascii_isalnum(character) || character == '-' || character == '_' ||
                  character == '.';
         });
}

const control::ServiceOperation* FindOperation(const control::ServiceRoute& service,
                                               const std::string& name) {
  for (const control::ServiceOperation& operation : service.operations()) {
    if (operation.name() == name) return &operation;
  }
  return nullptr;
}

ApiError NotFound(const char* message) { return {ErrorCode::kNotFound, message, Executed::kNo}; }
ApiError BadRequest(const absl::Status& status) {
  const absl::string_view message = status.message();
  return {ErrorCode::kBadRequest, {message.data(), message.size()}, Executed::kNo};
}
ApiError BadRequest(std::string message) {
  return {ErrorCode::kBadRequest, std::move(message), Executed::kNo};
}

}  // namespace

std::optional<CallerApi::Route> CallerApi::FindRoute(const http::Request& request) {
  if (request.method != "POST") return std::nullopt;
  const std::string_view target(request.target);
  const std::string_view path = target.substr(0, target.find('?'));
  Route route;
  if (path == kCompletionsPath) return route;
  if (path == kChatPath) {
    route.kind = Route::Kind::kChat;
    return route;
  }
  if (path.substr(0, kServicesPath.size()) != kServicesPath) return std::nullopt;
  const std::string_view segments = path.substr(kServicesPath.size());
  const size_t slash = segments.find('/');
  if (slash == std::string_view::npos) return std::nullopt;
  route.kind = Route::Kind::kService;
  route.service = std::string(segments.substr(0, slash));
  route.operation = std::string(segments.substr(slash + 1));
  if (!IsPathName(route.service) || !IsPathName(route.operation)) return std::nullopt;
  return route;
}

std::optional<ApiError> CallerApi::Validate(CallerRequest* call) {
  if (draining_) {
    return ApiError{ErrorCode::kDraining, "this gateway is being stopped", Executed::kNo,
                    kDrainRetrySeconds};
  }
  if (std::optional<ApiError> error = context_->FleetStateError()) return error;
  const http::Headers& headers = call->request.headers;
  call->tenant = context_->tenants->Authenticate(headers.Get(header::kAuthorization));
  if (call->tenant == nullptr) {
    return ApiError{ErrorCode::kUnauthorized, "no such key", Executed::kNo};
  }
  call->request_id = std::string(headers.Get(header::kRequestId));
  if (call->request_id.empty()) call->request_id = context_->NewNonce();
  if (!IsPlainId(call->request_id)) return BadRequest("X-Request-Id: 1 to 128 visible characters");
  call->idempotency_key = std::string(headers.Get(header::kIdempotencyKey));
  if (headers.Has(header::kIdempotencyKey) && !IsPlainId(call->idempotency_key)) {
    return BadRequest("Idempotency-Key: 1 to 128 visible characters");
  }
  return std::nullopt;
}

void CallerApi::HandleRequest(http::Request request, std::shared_ptr<http::ResponseWriter> writer) {
  CallerRequest call;
  call.request = std::move(request);
  call.writer = std::move(writer);
  call.received = context_->runtime->clock->Now();
  call.deadline = call.received + context_->lookup->limits().request_timeout;
  const std::optional<Route> route = FindRoute(call.request);
  if (!route.has_value()) {
    Reject(call, NotFound("no such route"));
    return;
  }
  if (std::optional<ApiError> error = Validate(&call)) {
    Reject(call, *std::move(error));
    return;
  }
  if (route->kind == Route::Kind::kService) {
    StartService(*route, std::move(call));
  } else {
    StartInference(*route, std::move(call));
  }
}

bool CallerApi::Admit(CallerRequest* call) {
  std::optional<ApiError> error = context_->admission->Admit(*call->tenant, &call->slot);
  if (!error.has_value()) return true;
  Reject(*call, *std::move(error));
  return false;
}

void CallerApi::StartInference(const Route& route, CallerRequest call) {
  // Admission comes first, so that no bodies of a tenant over its limits are parsed.
  if (!Admit(&call)) return;
  absl::StatusOr<InferenceBody> body =
      ParseInferenceBody(call.request.body, route.kind == Route::Kind::kChat);
  if (!body.ok()) {
    Reject(call, BadRequest(body.status()));
    return;
  }
  if (context_->lookup->FindModel(body->model) == nullptr) {
    Reject(call, NotFound("no such model"));
    return;
  }
  context_->requests->Start(
      std::make_shared<InferenceRequest>(context_, std::move(call), *std::move(body)));
}

void CallerApi::StartService(const Route& route, CallerRequest call) {
  const control::ServiceRoute* service = context_->lookup->FindService(route.service);
  const control::ServiceOperation* operation =
      service == nullptr ? nullptr : FindOperation(*service, route.operation);
  if (operation == nullptr) {
    Reject(call, NotFound("no such service or operation"));
    return;
  }
  if (service->timeout_ms() > 0) {
    call.deadline = call.received + std::chrono::milliseconds(service->timeout_ms());
  }
  if (operation->non_repeatable() && call.idempotency_key.empty()) {
    Reject(call, BadRequest("this operation needs an Idempotency-Key"));
    return;
  }
  if (!Admit(&call)) return;
  std::shared_ptr<ActiveRequest> request;
  if (operation->non_repeatable()) {
    request = std::make_shared<DeliveryRequest>(context_, std::move(call), route.service,
                                                route.operation);
  } else {
    request =
        std::make_shared<ServiceRequest>(context_, std::move(call), route.service, route.operation);
  }
  context_->requests->Start(std::move(request));
}

void CallerApi::Reject(const CallerRequest& call, ApiError error) {
  // An earlier request with the same key may have run, unless this one could never be accepted.
  const bool may_have_run = call.request.headers.Has(header::kIdempotencyKey);
  const bool never_accepted = error.code == ErrorCode::kBadRequest;
  if (may_have_run && !never_accepted) error.executed = Executed::kUnknown;
  SendError(*context_, call.writer.get(), error);
}

}  // namespace posthatch::gateway
