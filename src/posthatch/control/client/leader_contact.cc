#include "posthatch/control/client/leader_contact.h"

#include <chrono>

#include "absl/strings/str_join.h"

namespace posthatch::control {
namespace {

// Twice the interval of renewals: at least one of them got no response.
constexpr runtime::Duration kReportedGap = std::chrono::seconds(2);

}  // namespace

LeaderContact::LeaderContact(runtime::Runtime* runtime, GatewaySessionMetrics* metrics)
    : runtime_(runtime), metrics_(metrics), last_response_at_(runtime->clock->Now()) {}

void LeaderContact::OnRenewalSent(const std::string& controller) {
  ++renewals_sent_;
  controllers_.insert(controller);
}

void LeaderContact::OnLeaderResponse(const std::string& leader) {
  const runtime::MonotonicTime now = runtime_->clock->Now();
  const runtime::Duration gap = now - last_response_at_;
  metrics_->ObserveLeaderGap(gap);
  if (gap >= kReportedGap) {
    runtime_->trace->Event(runtime::Severity::kWarning, "LeaderContactRegained",
                           {{"leader", leader},
                            {"gap_ms", runtime::ToMilliseconds(gap)},
                            {"renewals", renewals_sent_},
                            {"asked", absl::StrJoin(controllers_, ",")}});
  }
  last_response_at_ = now;
  renewals_sent_ = 0;
  controllers_.clear();
}

}  // namespace posthatch::control
