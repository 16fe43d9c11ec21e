#pragma once

#include <cstdint>

#include "posthatch/routing/admitted_call.h"
#include "posthatch/routing/call_format.h"
#include "posthatch/routing/placement.h"
#include "posthatch/routing/request_outcome.h"
#include "posthatch/routing/retry_state.h"
#include "posthatch/routing/traffic_context.h"

namespace posthatch::routing {

// Writes the trace events of one request. scripts/experiments/losses.py sums up CallDispatched,
// FirstEvent and CallEnded by their field names. Owned by TrafficRequest; event loop thread only.
class RequestTrace {
 public:
  // `context` and `admitted` must outlive this object.
  RequestTrace(const TrafficContext* context, const AdmittedCall* admitted)
      : context_(context), admitted_(admitted) {}

  // `attempt` increases with each dispatch of the request; `connection` is its place on the
  // worker's connection.
  void Dispatched(uint64_t attempt, const DispatchFields& fields, const PromptShape& shape,
                  const Placement& placement, const http::ConnectionUse& connection) const;
  // A response head was received that is a rejection or belongs to another request.
  void ResponseHead(uint64_t attempt, const http::Response& head,
                    const ResponseClassification& classification, const Worker& worker,
                    const http::ConnectionUse& connection) const;
  // The first event of a stream came `elapsed` after the dispatch.
  void FirstEvent(const Placement& placement, runtime::Duration elapsed) const;
  // The first event of a prompt came after the deadline of `revision`, which has been outdated for
  // `outdated_for`.
  void OutdatedPromptBegan(const Placement& placement, uint64_t revision, runtime::Duration elapsed,
                           runtime::Duration outdated_for) const;
  void Ended(RequestOutcome outcome, const RetryState& retries, bool stream_started) const;

 private:
  const TrafficContext* const context_;
  const AdmittedCall* const admitted_;
};

}  // namespace posthatch::routing
