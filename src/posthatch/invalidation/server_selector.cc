#include "posthatch/invalidation/server_selector.h"

namespace posthatch::invalidation {
namespace {

constexpr int kMaxConsecutiveRedirections = 3;
// How long a failed relay point is avoided.
constexpr runtime::Duration kRelayAvoidancePeriod = std::chrono::seconds(30);

}  // namespace

std::string ServerSelector::Current() const {
  if (!redirected_to_.empty()) return redirected_to_;
  const std::vector<std::string> controllers = controllers_();
  if (controllers.empty()) return "";
  return controllers[controller_index_ % controllers.size()];
}

std::vector<std::string> ServerSelector::AvoidedRelays() const {
  const runtime::MonotonicTime now = clock_->Now();
  std::vector<std::string> relays;
  for (const auto& [relay, until] : avoided_until_) {
    if (now < until) relays.push_back(relay);
  }
  return relays;
}

bool ServerSelector::Redirect(const std::string& from, const std::string& to) {
  if (++consecutive_redirections_ > kMaxConsecutiveRedirections) return false;
  redirected_from_ = from;
  redirected_to_ = to;
  return true;
}

void ServerSelector::OnRefused(const std::string& server) {
  if (!redirected_to_.empty()) AvoidRelay(server);
  consecutive_redirections_ = 0;
}

void ServerSelector::OnNoResponse(const std::string& server) {
  if (!redirected_to_.empty()) AvoidRelay(server);
}

void ServerSelector::OnRegistrationLost(const std::string& server) {
  if (server != redirected_to_) return;
  AvoidRelay(server);
  redirected_to_.clear();
  redirected_from_.clear();
}

void ServerSelector::Advance() {
  redirected_to_.clear();
  redirected_from_.clear();
  ++controller_index_;
}

void ServerSelector::AvoidRelay(const std::string& relay) {
  avoided_until_[relay] = clock_->Now() + kRelayAvoidancePeriod;
}

}  // namespace posthatch::invalidation
