#pragma once

// Results of dispatches and requests, with their labels in the metrics (traffic_metrics.h) and the
// debug log.
namespace posthatch::routing {

// How a caller's request ended; label `outcome` of posthatch_traffic_answers_total.
enum class RequestOutcome {
  kOk,            // "ok": a complete response of a worker
  kWorkerError,   // "worker_error": a complete response of a worker, with a 5xx status
  kRejected,      // "refused": not admitted; or no dispatch may have run, so the caller may retry
  kFailed,        // "failed": a dispatch may have run; no complete response was received
  kTimedOut,      // "timeout": the request's deadline has passed
  kTruncated,     // "broken": the caller received a truncated stream
  kDisconnected,  // "gone": the caller disconnected first
};
const char* OutcomeLabel(RequestOutcome outcome);

// Why no complete response to a dispatch was received; label `cause` of
// posthatch_traffic_dispatch_failures_total.
enum class DispatchFailure {
  kUnreachable,  // "unreachable": no byte of the request was sent
  kNotExecuted,  // "not_executed": the worker says that it has not run and will not run it
  kMisdirected,  // "misdirected": the address belongs to another incarnation or revision; not run
  kLost,         // "lost": sent, and no response head was received
  kTruncated,    // "broken": the response was truncated or is too large
  kMismatched,   // "foreign_answer": the response belongs to another request
  kServerError,  // "worker_error": a 5xx status to retry, or a status that must not be relayed
  kOutdated,     // "outdated": cancelled, since it may no longer start under the worker's revision
};
const char* FailureLabel(DispatchFailure failure);

// Whether the worker may have run the request in spite of the failure.
bool MayHaveExecuted(DispatchFailure failure);

// The kind of a dispatch within its request; label `kind` of posthatch_traffic_dispatches_total.
enum class DispatchKind {
  kFirst,   // "first"
  kRetry,   // "retry"
  kResume,  // "resume": resumes a stream that has begun at another worker
};
const char* KindLabel(DispatchKind kind);

}  // namespace posthatch::routing
