#pragma once

#include <cstdint>
#include <string>

#include "posthatch/gateway/backend_entry.h"
#include "posthatch/gateway/fleet_lookup.h"
#include "posthatch/gateway/gateway_metrics.h"
#include "posthatch/gateway/gateway_options.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::gateway {

// How an attempt failed.
enum class FailureKind {
  kUnreachable,  // no connection, so no byte was sent
  kFailed,
};

// Decides from the results of attempts which back ends may get new requests: outlier ejection after
// consecutive failures, backoff after a rejection, and slow start for back ends that are new, have
// returned or have lost their cache. Owned by BackendDirectory; event loop thread only.
class BackendHealth {
 public:
  BackendHealth(const runtime::Clock* clock, const GatewayOptions* options,
                const FleetLookup* lookup, GatewayMetrics* metrics)
      : clock_(clock), options_(options), lookup_(lookup), metrics_(metrics) {}

  // Whether the back end may get a new request now: it is in the inventory, not draining, not
  // evacuated, not ejected, not in backoff for `revision` (0 for services) and below its limit.
  // Checked again immediately before dispatch.
  bool Eligible(const BackendEntry& entry, uint64_t revision) const;
  // Whether an ejected back end may get a single trial request when no back end is eligible.
  bool EligibleForTrial(const BackendEntry& entry) const;
  // Fraction in (0, 1] of its limit that a back end may use; grows during slow start.
  double SlowStartShare(const BackendEntry& entry) const;
  // Number of requests that this gateway may currently have in flight at the back end.
  uint32_t Limit(const BackendEntry& entry) const;

  void OnSuccess(BackendEntry* entry);
  // An attempt failed. An unreachable back end is ejected immediately, any other after the
  // configured number of consecutive failures.
  void OnFailure(BackendEntry* entry, FailureKind kind = FailureKind::kFailed);
  // The back end rejected an attempt before running it, with HTTP status `status`. It gets no
  // requests for `revision` during a backoff.
  void OnRejected(BackendEntry* entry, uint64_t revision, int status);
  // A response carried the back end's cache epoch; a changed epoch restarts slow start.
  void OnEpoch(BackendEntry* entry, uint64_t epoch);
  // `cause` is the label value in the metric.
  void EnterSlowStart(BackendEntry* entry, const std::string& cause);

 private:
  const runtime::Clock* const clock_;
  const GatewayOptions* const options_;
  const FleetLookup* const lookup_;
  GatewayMetrics* const metrics_;
};

}  // namespace posthatch::gateway
