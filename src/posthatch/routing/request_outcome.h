#pragma once

// How dispatches and requests end, as the metrics (traffic_metrics.h) and the debug log name it.
namespace posthatch::routing {

// How a caller's request ended; label `outcome` of posthatch_traffic_answers_total.
enum class RequestOutcome {
  kOk,            // "ok": a complete response of a worker
  kWorkerError,   // "worker_error": a complete response of a worker, with a 5xx status
  kRejected,      // "refused": no dispatch may have run; the caller may try again
  kFailed,        // "failed": a dispatch may have run, and no complete response came
  kTimedOut,      // "timeout": the caller's time is over
  kTruncated,     // "broken": the caller got a part of a stream
  kDisconnected,  // "gone": the caller left first
};
const char* OutcomeLabel(RequestOutcome outcome);

// Why a dispatch brought no complete response; label `cause` of
// posthatch_traffic_dispatch_failures_total.
enum class DispatchFailure {
  kUnreachable,  // "unreachable": no byte of the request went out
  kNotExecuted,  // "not_executed": the worker says that it has not run and will not run it
  kMisdirected,  // "misdirected": another incarnation or revision has the address; not run
  kLost,         // "lost": sent, and no response head came
  kTruncated,    // "broken": the response ended early or is too large
  kMismatched,   // "foreign_answer": the response belongs to another request
  kServerError,  // "worker_error": a status that may not or need not be passed on
  kOutdated,     // "outdated": cancelled, since it may no longer begin under the worker's revision
};
const char* FailureLabel(DispatchFailure failure);

// Whether the worker may have run the request in spite of the failure.
bool MayHaveExecuted(DispatchFailure failure);

// What a dispatch is to its request; label `kind` of posthatch_traffic_dispatches_total.
enum class DispatchKind {
  kFirst,   // "first"
  kRetry,   // "retry"
  kResume,  // "resume": of a stream that has begun at another worker
};
const char* KindLabel(DispatchKind kind);

}  // namespace posthatch::routing
