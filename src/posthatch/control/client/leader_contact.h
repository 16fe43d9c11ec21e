#pragma once

#include <set>
#include <string>

#include "posthatch/control/client/gateway_session_metrics.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::control {

// Measures how long a gateway goes without a response of the leader, and which controllers it asked
// meanwhile. Owned by GatewaySession; event loop thread only.
class LeaderContact {
 public:
  // `runtime` and `metrics` must outlive this object.
  LeaderContact(runtime::Runtime* runtime, GatewaySessionMetrics* metrics);

  // A renewal was sent to `controller`.
  void OnRenewalSent(const std::string& controller);
  // The leader granted or pushed something. Traces LeaderContactRegained after a long gap.
  void OnLeaderResponse(const std::string& leader);

 private:
  runtime::Runtime* const runtime_;
  GatewaySessionMetrics* const metrics_;
  runtime::MonotonicTime last_response_at_;
  int renewals_sent_ = 0;              // since the last response
  std::set<std::string> controllers_;  // asked since the last response
};

}  // namespace posthatch::control
