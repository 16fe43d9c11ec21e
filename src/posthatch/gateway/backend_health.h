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

// Which back ends may get new work, by the results of attempts: outlier ejection after consecutive
// failures, a backoff after a rejection, and slow start for back ends that are new, returned or
// lost their cache. Owned by BackendDirectory; event loop thread only.
class BackendHealth {
 public:
  BackendHealth(const runtime::Clock* clock, const GatewayOptions* options,
                const FleetLookup* lookup, GatewayMetrics* metrics)
      : clock_(clock), options_(options), lookup_(lookup), metrics_(metrics) {}

  // Whether it may get new work now: in the inventory, not draining, not evacuated, not ejected,
  // and below its limit. Checked again immediately before dispatch. `revision` 0 for services.
  bool Eligible(const BackendEntry& entry, uint64_t revision) const;
  // Whether an ejected back end may get a single trial request when nothing else is left.
  bool EligibleForTrial(const BackendEntry& entry) const;
  // Fraction in (0, 1] of its limit that a back end may use; grows during slow start.
  double SlowStartShare(const BackendEntry& entry) const;
  // Requests that this gateway may currently have in flight there.
  uint32_t Limit(const BackendEntry& entry) const;

  void OnSuccess(BackendEntry* entry);
  // An attempt failed. An unreachable back end is ejected immediately, any other after the
  // configured number of consecutive failures.
  void OnFailure(BackendEntry* entry, FailureKind kind = FailureKind::kFailed);
  // It rejected an attempt before running, with `status`; it is skipped for `revision` during a
  // backoff.
  void OnRefused(BackendEntry* entry, uint64_t revision, int status);
  // A response carried its cache epoch; a new epoch starts slow start again.
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
