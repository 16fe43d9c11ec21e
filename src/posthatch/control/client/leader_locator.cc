#include "posthatch/control/client/leader_locator.h"

#include <algorithm>
#include <utility>

namespace posthatch::control {

LeaderLocator::LeaderLocator(runtime::Runtime* runtime, Endpoints controllers)
    : runtime_(runtime), controllers_(std::move(controllers)) {}

std::string LeaderLocator::Target() {
  if (!target_.empty()) return target_;
  const std::vector<std::string> endpoints = controllers_();
  if (!endpoints.empty()) target_ = endpoints[runtime_->random->Uniform(endpoints.size())];
  return target_;
}

void LeaderLocator::FollowHint(const std::string& leader_endpoint) {
  if (!leader_endpoint.empty()) target_ = leader_endpoint;
}

void LeaderLocator::OnLeaderResponse(const std::string& endpoint) {
  target_ = endpoint;
  confirmed_leader_ = endpoint;
  confirmed_at_ = runtime_->clock->Now();
}

void LeaderLocator::MarkUnavailable(const std::string& endpoint) {
  if (endpoint != target_) return;
  if (endpoint == confirmed_leader_ && runtime_->clock->Now() - confirmed_at_ < kLeaderTrustPeriod)
    return;
  const std::vector<std::string> endpoints = controllers_();
  if (endpoints.empty()) {
    target_.clear();
    return;
  }
  const auto position = std::find(endpoints.begin(), endpoints.end(), target_);
  const size_t next = position == endpoints.end()
                          ? runtime_->random->Uniform(endpoints.size())
                          : static_cast<size_t>(position - endpoints.begin() + 1);
  target_ = endpoints[next % endpoints.size()];
}

}  // namespace posthatch::control
