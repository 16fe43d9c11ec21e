#include "posthatch/gateway/retryable_request.h"

#include <algorithm>
#include <utility>

#include "posthatch/gateway/header_names.h"
#include "posthatch/gateway/response_check.h"

namespace posthatch::gateway {
namespace {

// Timeout of one attempt's response head, as a fraction 1/n of the request timeout.
constexpr int kAttemptTimeoutDivisor = 4;
// Maximum time without a body byte in a response.
constexpr runtime::Duration kBodyIdleTimeout = std::chrono::seconds(10);
// Minimum time before the deadline for a retry to succeed.
constexpr runtime::Duration kMinTimeForRetry = std::chrono::milliseconds(50);

}  // namespace

RetryableRequest::RetryableRequest(GatewayContext* context, CallerRequest call)
    : context_(context), call_(std::move(call)), deadline_timer_(context->runtime->timers) {}

void RetryableRequest::Begin() {
  std::weak_ptr<ActiveRequest> weak = weak_from_this();
  call_.writer->OnCallerDisconnected([this, weak] {
    if (const auto self = weak.lock()) OnCallerDisconnected();
  });
  deadline_timer_.Start(call_.deadline - context_->runtime->clock->Now(), [this] { OnDeadline(); });
  DispatchAttempt();
}

std::optional<ApiError> RetryableRequest::DispatchError() {
  if (std::optional<ApiError> error = context_->FleetStateError()) return error;
  if (attempts_ == 0) return std::nullopt;
  // The key may have been revoked since the request was admitted.
  return context_->AuthorizationError(call_);
}

void RetryableRequest::DispatchAttempt() {
  if (std::optional<ApiError> error = DispatchError()) {
    Reject(*std::move(error));
    return;
  }
  AttemptPlan plan;
  RouteDecision decision = Plan(attempted_backends_, &plan);
  if (decision.outcome == RouteDecision::Outcome::kShed) {
    Reject({ErrorCode::kOverloaded, "the back ends are busy with work of higher priority",
            Executed::kNo, 1});
    return;
  }
  if (decision.outcome == RouteDecision::Outcome::kNoCapacity) {
    Reject({ErrorCode::kNoCapacity, "no back end may take the request now", Executed::kNo, 1});
    return;
  }
  if (attempts_ == 0) {
    context_->retry_budget->RecordFirstAttempt();
  } else if (!context_->retry_budget->TryRetry(context_->lookup->limits().retry_ratio)) {
    context_->metrics->retries_denied.Increment("budget");
    Reject(RetryDeniedError());
    return;
  }
  plan.backend = std::move(decision.backend);
  Dispatch(std::move(plan));
}

void RetryableRequest::Dispatch(AttemptPlan plan) {
  ++attempts_;
  plan.nonce = context_->NewNonce();
  AddAttemptHeaders(*context_, call_, plan.nonce, attempts_, &plan.request.headers);
  const runtime::Duration time_left = call_.deadline - context_->runtime->clock->Now();
  const runtime::Duration attempt_timeout =
      context_->lookup->limits().request_timeout / kAttemptTimeoutDivisor;
  plan.call_options.head_timeout = std::min(time_left, attempt_timeout);
  plan.call_options.body_idle_timeout = kBodyIdleTimeout;
  plan.call_options.max_body_bytes = plan.stream ? SIZE_MAX : context_->options->max_response_bytes;
  context_->metrics->attempts.Increment(attempts_ == 1 ? "first" : "retry");
  AttemptListener* const listener = this;
  attempt_ = std::make_shared<UpstreamAttempt>(context_->runtime, context_->backends, listener,
                                               std::move(plan));
  attempt_->Start();
}

void RetryableRequest::OnStreamHead(const http::Response&) {}
void RetryableRequest::OnStreamChunk(std::string) {}
void RetryableRequest::OnStreamEnd() {}
void RetryableRequest::AbortStream(const ApiError&) {}

void RetryableRequest::OnResponseComplete(http::Response response) {
  if (ended_) return;
  if (GuaranteesNotExecuted(response)) {
    OnAttemptFailed({AttemptFailure::Cause::kRejected, "rejected before running", response.status});
    return;
  }
  absl::Status status = absl::OkStatus();
  if (response.status == 200) status = CheckResponse(response);
  if (response.status >= 500)
    status = absl::UnavailableError("the back end responded with an error");
  if (!status.ok()) {
    context_->backends->health()->OnFailure(attempt_->backend());
    OnAttemptFailed({AttemptFailure::Cause::kInvalidResponse, status.ToString()});
    return;
  }
  context_->backends->health()->OnSuccess(attempt_->backend());
  if (response.status == 200) OnValidResponse(response);
  ObserveFirstByte();
  call_.writer->SendResponse(MakeCallerResponse(call_, std::move(response)));
  Complete();
}

void RetryableRequest::OnAttemptFailed(AttemptFailure failure) {
  if (ended_) return;
  context_->metrics->attempt_failures.Increment(failure.name());
  if (!failure.GuaranteesNotExecuted()) guaranteed_not_executed_ = false;
  if (attempts_ == 1 && failure.cause == AttemptFailure::Cause::kNotSent) {
    context_->retry_budget->RevertFirstAttempt();
  }
  attempted_backends_.push_back(attempt_->backend()->backend.id());
  context_->requests->Discard(attempt_);
  if (ResponseStarted()) {
    context_->metrics->stream_breaks.Increment(failure.name());
    context_->metrics->responses.Increment("broken_stream");
    AbortStream(FinalError(failure));
    End();
    return;
  }
  const runtime::Duration time_left = call_.deadline - context_->runtime->clock->Now();
  if (attempts_ >= context_->options->max_attempts || time_left < kMinTimeForRetry) {
    context_->metrics->retries_denied.Increment(time_left < kMinTimeForRetry ? "deadline"
                                                                             : "attempts");
    Reject(FinalError(failure));
    return;
  }
  DispatchAttempt();
}

ApiError RetryableRequest::FinalError(const AttemptFailure& failure) const {
  if (failure.cause == AttemptFailure::Cause::kRejected) {
    return {ErrorCode::kNoCapacity, "the back ends refused the request", Executed::kNo, 1};
  }
  if (failure.cause == AttemptFailure::Cause::kTimeout) {
    return {ErrorCode::kTimeout, "no answer in time", Executed::kUnknown, 1};
  }
  return {ErrorCode::kBackendFailed, "the back end gave no whole answer", Executed::kUnknown, 1};
}

ApiError RetryableRequest::RetryDeniedError() const {
  if (guaranteed_not_executed_) {
    return {ErrorCode::kNoCapacity, "the back end refused, and too many requests are being retried",
            Executed::kNo, 1};
  }
  return {ErrorCode::kBackendFailed, "the back end failed, and too many requests are being retried",
          Executed::kUnknown, 1};
}

void RetryableRequest::OnDeadline() {
  if (attempt_ == nullptr || ended_) return;
  attempt_->Fail({AttemptFailure::Cause::kTimeout, "the deadline passed"});
}

void RetryableRequest::OnCallerDisconnected() {
  if (ended_) return;
  context_->metrics->responses.Increment("caller_gone");
  if (attempt_ != nullptr) context_->requests->Discard(std::exchange(attempt_, nullptr));
  End();
}

void RetryableRequest::ObserveFirstByte() {
  const runtime::Duration elapsed = context_->runtime->clock->Now() - call_.received;
  context_->metrics->first_byte_seconds.Observe(std::chrono::duration<double>(elapsed).count());
}

void RetryableRequest::Reject(ApiError error) {
  const bool proved = guaranteed_not_executed_ && call_.idempotency_key.empty();
  error.executed = proved ? Executed::kNo : Executed::kUnknown;
  SendError(*context_, call_.writer.get(), error);
  End();
}

void RetryableRequest::Complete() {
  context_->metrics->responses.Increment("ok");
  End();
}

void RetryableRequest::End() {
  ended_ = true;
  deadline_timer_.Cancel();
  context_->requests->Retire(this);
}

}  // namespace posthatch::gateway
