#pragma once

#include <string>
#include <vector>

#include "posthatch/gateway/repeatable_request.h"

namespace posthatch::gateway {

// One call of an application service's operation that may be repeated.
class ServiceRequest : public RepeatableRequest {
 public:
  ServiceRequest(GatewayContext* context, CallerCall call, std::string service,
                 std::string operation)
      : RepeatableRequest(context, std::move(call)),
        service_(std::move(service)),
        operation_(std::move(operation)) {}

 private:
  RouteDecision Plan(const std::vector<std::string>& tried, AttemptPlan* plan) override;
  absl::Status CheckAnswer(const http::Response& answer) override;
  void OnGoodAnswer(const http::Response&) override {}
  void OnAttemptFailed(AttemptFailure failure) override;

  const std::string service_;
  const std::string operation_;
};

}  // namespace posthatch::gateway
