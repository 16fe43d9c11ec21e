#include "posthatch/gateway/service_request.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "posthatch/gateway/response_check.h"

namespace posthatch::gateway {

RouteDecision ServiceRequest::Plan(const std::vector<std::string>& attempted_backends,
                                   AttemptPlan* plan) {
  plan->request.method = "POST";
  plan->request.target = absl::StrCat("/operations/", operation_);
  plan->request.body = call().request.body;
  return context()->router->RouteService(service_, call().tenant->priority(), attempted_backends);
}

absl::Status ServiceRequest::CheckResponse(const http::Response& response) {
  return CheckServiceBody(response.body, call().request_id, operation_);
}

void ServiceRequest::OnAttemptFailed(AttemptFailure failure) {
  if (failure.cause == AttemptFailure::Cause::kRejected) {
    context()->backends->health()->OnRejected(attempt()->backend(), 0, failure.status);
  }
  RetryableRequest::OnAttemptFailed(std::move(failure));
}

}  // namespace posthatch::gateway
