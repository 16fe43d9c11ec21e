#include "posthatch/fleettest/response_dropping_client.h"

#include <utility>

namespace posthatch::fleettest {

void ResponseDroppingClient::SetDropProbability(const std::string& endpoint, double probability) {
  if (probability > 0) {
    loss_by_endpoint_[endpoint] = probability;
  } else {
    loss_by_endpoint_.erase(endpoint);
  }
}

std::unique_ptr<http::Call> ResponseDroppingClient::Start(const std::string& endpoint,
                                                          http::Request request,
                                                          http::CallOptions options,
                                                          http::CallObserver observer) {
  const auto loss = loss_by_endpoint_.find(endpoint);
  if (loss == loss_by_endpoint_.end() || !random_->Chance(loss->second)) {
    return client_->Start(endpoint, std::move(request), options, std::move(observer));
  }
  ++dropped_responses_;
  http::CallObserver losing;
  losing.on_error = observer.on_error;
  losing.on_end = [on_error = observer.on_error] {
    on_error({absl::DataLossError("the answer was lost"), http::CallProgress::kSent});
  };
  return client_->Start(endpoint, std::move(request), options, std::move(losing));
}

}  // namespace posthatch::fleettest
