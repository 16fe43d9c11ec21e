#pragma once

#include <cstdint>

#include "posthatch/routing/admitted_call.h"
#include "posthatch/routing/call_format.h"
#include "posthatch/routing/placement.h"
#include "posthatch/routing/request_outcome.h"
#include "posthatch/routing/retry_state.h"
#include "posthatch/routing/traffic_context.h"

namespace posthatch::routing {

// Writes one request's events. CallDispatched, FirstEvent and CallEnded are what
// scripts/experiments/losses.py adds up: their field names are that script's input. Owned by
// TrafficRequest; event loop thread only.
class RequestTrace {
 public:
  // Both outlive it.
  RequestTrace(const TrafficContext* context, const AdmittedCall* admitted)
      : context_(context), admitted_(admitted) {}

  // `attempt` rises with each dispatch of the request.
  void Dispatched(uint64_t attempt, const DispatchFields& fields, const PromptShape& shape,
                  const Placement& placement) const;
  // The first event of a stream came `elapsed` after the dispatch.
  void FirstEvent(const Placement& placement, runtime::Duration elapsed) const;
  // The same under `revision`, past the deadline that a newer one gave it `outdated_for` ago.
  void OutdatedPromptBegan(const Placement& placement, uint64_t revision, runtime::Duration elapsed,
                           runtime::Duration outdated_for) const;
  void Ended(RequestOutcome outcome, const RetryState& retries, bool stream_started) const;

 private:
  const TrafficContext* const context_;
  const AdmittedCall* const admitted_;
};

}  // namespace posthatch::routing
