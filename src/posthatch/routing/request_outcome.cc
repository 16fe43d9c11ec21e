#include "posthatch/routing/request_outcome.h"

namespace posthatch::routing {

const char* OutcomeLabel(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kOk:
      return "ok";
    case RequestOutcome::kWorkerError:
      return "worker_error";
    case RequestOutcome::kRejected:
      return "refused";
    case RequestOutcome::kFailed:
      return "failed";
    case RequestOutcome::kTimedOut:
      return "timeout";
    case RequestOutcome::kTruncated:
      return "broken";
    case RequestOutcome::kDisconnected:
      return "gone";
  }
  return "unknown";
}

const char* FailureLabel(DispatchFailure failure) {
  switch (failure) {
    case DispatchFailure::kUnreachable:
      return "unreachable";
    case DispatchFailure::kNotExecuted:
      return "not_executed";
    case DispatchFailure::kMisdirected:
      return "misdirected";
    case DispatchFailure::kLost:
      return "lost";
    case DispatchFailure::kTruncated:
      return "broken";
    case DispatchFailure::kMismatched:
      return "foreign_answer";
    case DispatchFailure::kServerError:
      return "worker_error";
    case DispatchFailure::kOutdated:
      return "outdated";
  }
  return "unknown";
}

bool MayHaveExecuted(DispatchFailure failure) {
  switch (failure) {
    case DispatchFailure::kUnreachable:
    case DispatchFailure::kNotExecuted:
    case DispatchFailure::kMisdirected:
      return false;
    case DispatchFailure::kLost:
    case DispatchFailure::kTruncated:
    case DispatchFailure::kMismatched:
    case DispatchFailure::kServerError:
    case DispatchFailure::kOutdated:
      return true;
  }
  return true;
}

const char* KindLabel(DispatchKind kind) {
  switch (kind) {
    case DispatchKind::kFirst:
      return "first";
    case DispatchKind::kRetry:
      return "retry";
    case DispatchKind::kResume:
      return "resume";
  }
  return "unknown";
}

}  // namespace posthatch::routing
