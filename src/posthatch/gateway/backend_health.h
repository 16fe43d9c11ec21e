#pragma once

#include <cstdint>
#include <string>

#include "posthatch/gateway/backend_entry.h"
#include "posthatch/gateway/fleet_lookup.h"
#include "posthatch/gateway/gateway_metrics.h"
#include "posthatch/gateway/gateway_options.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::gateway {

// How a failed attempt failed.
enum class FailureKind {
  kUnreachable,  // no byte was sent: no connection
  kFailed,
};

// Which back ends may get new work, by the health that attempts show: outlier ejection after
// consecutive failures, a pause after a refusal, and slow start for back ends that are new, came
// back or lost their cache. Owned by BackendDirectory; event loop thread only.
class BackendHealth {
 public:
  BackendHealth(const runtime::Clock* clock, const GatewayOptions* options,
                const FleetLookup* lookup, GatewayMetrics* metrics)
      : clock_(clock), options_(options), lookup_(lookup), metrics_(metrics) {}

  // Whether new work may go there now: in the inventory, not draining, not evacuated, not ejected,
  // below its limit. Checked again right at dispatch. `revision` 0 for services.
  bool Eligible(const BackendEntry& entry, uint64_t revision) const;
  // As Eligible, but for a single trial of an ejected back end when nothing else is left.
  bool EligibleForTrial(const BackendEntry& entry) const;
  // Share in (0, 1] of its full load that a back end may have: grows over the slow start.
  double SlowStartShare(const BackendEntry& entry) const;
  // Requests that this gateway may have in flight there now.
  uint32_t Limit(const BackendEntry& entry) const;

  void OnSuccess(BackendEntry* entry);
  // An attempt failed. An unreachable back end is ejected at once, any other after the configured
  // number of failures in a row.
  void OnFailure(BackendEntry* entry, FailureKind kind = FailureKind::kFailed);
  // It refused before running with `status`; it isn't asked for `revision` again for a moment.
  void OnRefused(BackendEntry* entry, uint64_t revision, int status);
  // A response named its cache epoch; a new one starts the slow start anew.
  void OnEpoch(BackendEntry* entry, uint64_t epoch);
  // `cause` is the metric's label.
  void EnterSlowStart(BackendEntry* entry, const std::string& cause);

 private:
  const runtime::Clock* const clock_;
  const GatewayOptions* const options_;
  const FleetLookup* const lookup_;
  GatewayMetrics* const metrics_;
};

}  // namespace posthatch::gateway
