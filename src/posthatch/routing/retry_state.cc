#include "posthatch/routing/retry_state.h"

#include <algorithm>
#include <utility>

namespace posthatch::routing {
namespace {

// Maximum number of dispatches of one request that provably have not run.
constexpr uint32_t kMaxUnexecutedAttempts = 4;

}  // namespace

bool RetryState::IsIdempotent() const {
  return route_->kind() == control::IDEMPOTENT || IsResumable();
}

bool RetryState::IsResumable() const {
  return route_->kind() == control::STREAMING && route_->resumable();
}

void RetryState::RecordFailure(FailedDispatch dispatch) {
  if (MayHaveExecuted(dispatch.failure)) {
    ++possible_executions_;
  } else if (dispatch.failure != DispatchFailure::kUnreachable) {
    ++unexecuted_attempts_;
  }
  attempted_workers_.push_back(dispatch.worker_id);
  failed_dispatches_.push_back(std::move(dispatch));
}

const char* RetryState::last_failure() const {
  return failed_dispatches_.empty() ? "" : FailureLabel(failed_dispatches_.back().failure);
}

bool RetryState::MayRetry(bool stream_started, uint32_t unrecorded_executions) const {
  if (!switches_->retries || (stream_started && !switches_->resumption)) return false;
  const uint32_t executions = possible_executions_ + unrecorded_executions;
  if (executions > 0 && !IsIdempotent()) return false;
  if (executions >= std::max(1U, route_->max_attempts())) return false;
  return attempted_workers_.size() < kMaxUnexecutedAttempts + executions;
}

}  // namespace posthatch::routing
