#pragma once

#include <string>
#include <vector>

#include "posthatch/gateway/retryable_request.h"

namespace posthatch::gateway {

// A request for an idempotent operation of an application service.
class ServiceRequest : public RetryableRequest {
 public:
  ServiceRequest(GatewayContext* context, CallerRequest call, std::string service,
                 std::string operation)
      : RetryableRequest(context, std::move(call)),
        service_(std::move(service)),
        operation_(std::move(operation)) {}

 private:
  RouteDecision Plan(const std::vector<std::string>& attempted_backends,
                     AttemptPlan* plan) override;
  absl::Status CheckResponse(const http::Response& response) override;
  void OnValidResponse(const http::Response&) override {}
  void OnAttemptFailed(AttemptFailure failure) override;

  const std::string service_;
  const std::string operation_;
};

}  // namespace posthatch::gateway
