#include "posthatch/fleettest/response_dropping_client.h"

#include <utility>

namespace posthatch::fleettest {

void ResponseDroppingClient::SetDropProbability(const std::string& endpoint, double probability) {
  if (probability > 0) {
    drop_probabilities_[endpoint] = probability;
  } else {
    drop_probabilities_.erase(endpoint);
  }
}

std::unique_ptr<http::Call> ResponseDroppingClient::Start(const std::string& endpoint,
                                                          http::Request request,
                                                          http::CallOptions options,
                                                          http::CallObserver observer) {
  const auto found = drop_probabilities_.find(endpoint);
  if (found == drop_probabilities_.end() || !random_->Chance(found->second)) {
    return client_->Start(endpoint, std::move(request), options, std::move(observer));
  }
  ++dropped_responses_;
  http::CallObserver dropping_observer;
  dropping_observer.on_error = observer.on_error;
  dropping_observer.on_end = [on_error = observer.on_error] {
    on_error({absl::DataLossError("the answer was lost"), http::CallProgress::kSent});
  };
  return client_->Start(endpoint, std::move(request), options, std::move(dropping_observer));
}

}  // namespace posthatch::fleettest
