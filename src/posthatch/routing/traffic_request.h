#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "posthatch/routing/admitted_call.h"
#include "posthatch/routing/call_format.h"
#include "posthatch/routing/placement.h"
#include "posthatch/routing/request_outcome.h"
#include "posthatch/routing/request_prompt.h"
#include "posthatch/routing/request_trace.h"
#include "posthatch/routing/retry_state.h"
#include "posthatch/routing/sse_framer.h"
#include "posthatch/routing/traffic_context.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::routing {

// One request from its admission to its end: dispatches it, classifies the response, retries where
// RetryState allows, and relays the response. Invariants on every path:
//   - a request that is not idempotent is dispatched a second time only if the first dispatch is
//     proved not to have run;
//   - it is dispatched over each connection once: all of its dispatches bear the same id, so that a
//     late copy of the response to an earlier one can't be told from the response to a later one;
//   - "unavailable, retry after" is sent only if no dispatch may have run;
//   - a response is relayed as complete only if it belongs to this request and is complete;
//   - when the caller disconnects, the worker's call is cancelled.
// Owned by TrafficGateway; event loop thread only.
class TrafficRequest : public std::enable_shared_from_this<TrafficRequest> {
 public:
  TrafficRequest(TrafficContext* context, AdmittedCall admitted);
  TrafficRequest(const TrafficRequest&) = delete;
  TrafficRequest& operator=(const TrafficRequest&) = delete;

  void Start();
  // Fails the running attempt if it may no longer start under its model revision. Called when the
  // deadlines of model revisions may have changed.
  void CheckRevisionDeadline();

 private:
  // State of a dispatch of the request; the worker is released when the attempt ends.
  struct Attempt {
    std::unique_ptr<http::Call> call;
    WorkerPointer worker;  // null if no dispatch is running
    Placement placement;
    uint64_t revision = 0;         // model revision that the worker served; 0 if not a prompt
    bool prefill_pending = false;  // the pool still counts the pending tokens
    bool first_event_seen = false;
    bool streaming = false;
    runtime::MonotonicTime started_at;
    http::Response response;  // buffered; of a stream only the head
  };

  runtime::Duration TimeRemaining() const;
  // The pooled connections that the request's next dispatch may use.
  http::PooledConnectionRules PooledConnections() const;

  void DispatchAttempt();
  PlacementQuery MakePlacementQuery();
  bool RetryBudgetAllows();
  void Dispatch(Placement placement);
  DispatchKind NextDispatchKind() const;
  DispatchFields MakeDispatchFields(const Placement& placement) const;
  void CountDispatch(const Placement& placement);
  void AnnouncePrefill();
  http::CallOptions MakeCallOptions() const;
  http::CallObserver MakeCallObserver();

  void OnHead(const http::Response& head);
  void OnBodyChunk(const std::string& chunk);
  void RelayEvents(const std::string& chunk);
  void OnFirstEvent();
  // Counts a prompt that began under an outdated model revision; logs it only if it began after
  // the revision's deadline.
  void CountOutdatedStart(runtime::Duration elapsed);
  // Updates the estimates for the worker, the stores and the prefill rate from the time of the
  // first event.
  void UpdateEstimates(runtime::Duration elapsed);
  void OnEnd();
  void OnStreamEnd();
  void OnResponseComplete();
  void OnCallError(const http::CallError& error);
  void OnAttemptFailed(DispatchFailure failure);
  // Records the running attempt's failure in the pool, as far as it concerns the worker's health.
  void ReportFailureToPool(DispatchFailure failure);
  bool MayRetry(uint32_t unrecorded_executions) const;
  void ReleaseWorker();
  void ReleasePendingTokens();

  void OnDeadline();
  void OnCallerDisconnected();
  // Ends the request without a complete response: aborts a stream that has started; otherwise
  // replies that the request has not run, if no dispatch may have run, or else replies with
  // `reason`.
  void EndWithFailure(LocalReplyReason reason, RequestOutcome outcome);
  void SendLocalReply(const LocalReply& reply, RequestOutcome outcome);
  void End(RequestOutcome outcome);

  TrafficContext* const context_;
  const AdmittedCall admitted_;
  const RequestTrace trace_;
  RequestPrompt prompt_;
  RetryState retries_;
  runtime::MonotonicTime deadline_;
  runtime::Timer deadline_timer_;
  runtime::Timer revision_timer_;  // runs while the attempt waits under an outdated revision
  bool ended_ = false;
  bool stream_started_ = false;  // the head of a stream was sent to the caller
  SseFramer sse_framer_;
  // Incremented when an attempt starts and when it ends; callbacks with an older number are
  // ignored.
  uint64_t attempt_number_ = 0;
  Attempt attempt_;
};

}  // namespace posthatch::routing
