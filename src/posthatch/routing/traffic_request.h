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
// RetryState allows, and relays. Invariants on every path through it:
//   - a request that is not idempotent is dispatched a second time only if the first dispatch is
//     proved not to have run;
//   - "unavailable, retry after" is sent only if no dispatch may have run;
//   - a response is relayed as complete only if it is this request's, and complete;
//   - when the caller disconnects, the worker's call is cancelled.
// Owned by TrafficGateway; event loop thread only.
class TrafficRequest : public std::enable_shared_from_this<TrafficRequest> {
 public:
  TrafficRequest(TrafficContext* context, AdmittedCall admitted);
  TrafficRequest(const TrafficRequest&) = delete;
  TrafficRequest& operator=(const TrafficRequest&) = delete;

  void Start();
  // The times of model revisions may have changed: ends an attempt that must not begin any more.
  void CheckRevisionDeadline();

 private:
  // One dispatch; its worker is released when it ends.
  struct Attempt {
    std::unique_ptr<http::Call> call;
    WorkerPointer worker;  // null: no dispatch is running
    Placement placement;
    uint64_t revision = 0;         // of the model that the worker served; 0: the call is no prompt
    bool prefill_pending = false;  // counted by the pool, and not taken back yet
    bool first_event_seen = false;
    bool streaming = false;
    runtime::MonotonicTime started_at;
    http::Response response;  // collected; of a stream only the head
  };

  runtime::Duration TimeRemaining() const;
  // How long a pooled connection may have been idle for this request; see http::CallOptions.
  double MaxIdleFraction() const;

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
  // Counts and reports a prompt that began under an outdated model revision.
  void CountOutdatedStart(runtime::Duration elapsed);
  // Corrects what is believed of worker, stores and prefill rate by when the first event came.
  void LearnFromFirstEvent(runtime::Duration elapsed);
  void OnEnd();
  void OnStreamEnd();
  void OnResponseComplete();
  void OnCallError(const http::CallError& error);
  void OnAttemptFailed(DispatchFailure failure);
  // Tells the pool what the failure of the running attempt says of its worker.
  void ReportFailureToPool(DispatchFailure failure);
  bool MayRetry(uint32_t unrecorded_executions) const;
  void ReleaseWorker();
  void ReleasePendingTokens();

  void OnDeadline();
  void OnCallerDisconnected();
  // Ends without a complete response: aborts a stream that has begun; else promises that nothing
  // has run if that is so, and else says `reason`.
  void EndUnserved(LocalReplyReason reason, RequestOutcome outcome);
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
  bool stream_started_ = false;  // the caller has got the head of a stream
  SseFramer events_;
  // Rises when an attempt starts and when it ends; callbacks under another number are ignored.
  uint64_t attempt_number_ = 0;
  Attempt attempt_;
};

}  // namespace posthatch::routing
