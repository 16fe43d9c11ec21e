#include "posthatch/gateway/delivery_request.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "posthatch/gateway/header_names.h"
#include "posthatch/gateway/key_digest.h"
#include "posthatch/gateway/response_check.h"

namespace posthatch::gateway {
namespace {

ApiError RecordUnavailable(const char* message) {
  return ApiError{ErrorCode::kRecordUnavailable, message, Executed::kUnknown, 1};
}

}  // namespace

DeliveryRequest::DeliveryRequest(GatewayContext* context, CallerRequest call, std::string service,
                                 std::string operation)
    : context_(context),
      call_(std::move(call)),
      service_(std::move(service)),
      operation_(std::move(operation)),
      deadline_timer_(context->runtime->timers) {}

void DeliveryRequest::Begin() {
  key_.tenant = call_.tenant->name();
  key_.idempotency_key = call_.idempotency_key;
  // The separator '/' is unambiguous, since it can't occur in a service name.
  key_.request_hash = Sha256Hex(absl::StrCat(service_, "/", operation_, "\n", call_.request.body));
  key_.attempt = context_->NewNonce();
  // Without an eligible back end no record is begun, so that the key can still be used.
  const RouteDecision decision =
      context_->router->RouteService(service_, call_.tenant->priority(), attempted_backends_);
  if (decision.outcome != RouteDecision::Outcome::kChosen) {
    const bool shed = decision.outcome == RouteDecision::Outcome::kShed;
    Reject({shed ? ErrorCode::kOverloaded : ErrorCode::kNoCapacity,
            "no back end may take the operation", Executed::kUnknown, 1});
    return;
  }
  begin_sent_ = context_->runtime->clock->Now();
  std::weak_ptr<ActiveRequest> weak = weak_from_this();
  context_->deliveries->Begin(key_, [this, weak](const auto& result) {
    if (const auto self = weak.lock()) OnBegun(result);
  });
}

void DeliveryRequest::OnBegun(const absl::StatusOr<control::CommandResult>& result) {
  if (!result.ok()) {
    context_->deliveries->Abandon(key_);
    Reject(RecordUnavailable("the delivery record could not be written in time"));
    return;
  }
  if (result->code() == control::CommandResult::WINDOW_PASSED) {
    Reject({ErrorCode::kKeyExpired, "the idempotency key's record is past its window",
            Executed::kUnknown});
    return;
  }
  if (result->code() != control::CommandResult::OK) {
    Reject(RecordUnavailable("the delivery record was refused"));
    return;
  }
  RespondFromRecord(result->delivery());
}

void DeliveryRequest::RespondFromRecord(const control::DeliveryStatus& delivery) {
  switch (delivery.kind()) {
    case control::DeliveryStatus::BEGUN:
      Dispatch();
      return;
    case control::DeliveryStatus::FINISHED:
      Replay(delivery.outcome());
      return;
    case control::DeliveryStatus::RUNNING:
      Reject({ErrorCode::kInProgress, "another attempt with this key is running",
              Executed::kUnknown, 1});
      return;
    case control::DeliveryStatus::MISMATCH:
      Reject({ErrorCode::kKeyReused, "the idempotency key was used for another request",
              Executed::kUnknown});
      return;
    default:
      Reject(RecordUnavailable("the delivery record's answer is not known"));
  }
}

void DeliveryRequest::Replay(const control::DeliveryOutcome& outcome) {
  context_->metrics->deliveries.Increment("replayed");
  if (outcome.kind() == control::DeliveryOutcome::NOT_EXECUTED) {
    Reject({ErrorCode::kKeyExpired, "this key was closed before it ran; use a new one",
            Executed::kNo});
    return;
  }
  if (outcome.kind() != control::DeliveryOutcome::RESPONDED) {
    Reject({ErrorCode::kBackendFailed, "the first send of this key got no answer",
            Executed::kUnknown});
    return;
  }
  http::Response stored;
  stored.status = static_cast<int>(outcome.status());
  stored.headers.Add(header::kContentType, outcome.content_type());
  stored.body = outcome.body();
  context_->metrics->responses.Increment("ok");
  call_.writer->SendResponse(MakeCallerResponse(call_, std::move(stored)));
  End();
}

std::optional<ApiError> DeliveryRequest::DispatchError() const {
  const runtime::MonotonicTime now = context_->runtime->clock->Now();
  if (now - begin_sent_ >= kDispatchDeadline || now >= call_.deadline) {
    return ApiError{ErrorCode::kTimeout, "it took too long to write the delivery record",
                    Executed::kNo, 1};
  }
  if (std::optional<ApiError> error = context_->FleetStateError()) return error;
  // The configuration may have changed while the record was written.
  return context_->AuthorizationError(call_);
}

void DeliveryRequest::Dispatch() {
  if (std::optional<ApiError> error = DispatchError()) {
    CloseNotExecuted(*error);
    return;
  }
  RouteDecision decision =
      context_->router->RouteService(service_, call_.tenant->priority(), attempted_backends_);
  if (decision.outcome != RouteDecision::Outcome::kChosen) {
    const bool shed = decision.outcome == RouteDecision::Outcome::kShed;
    CloseNotExecuted({shed ? ErrorCode::kOverloaded : ErrorCode::kNoCapacity,
                      "no back end may take the operation", Executed::kNo, 1});
    return;
  }
  if (attempted_backends_.empty()) {
    context_->retry_budget->RecordFirstAttempt();
  } else if (!context_->retry_budget->TryRetry(context_->lookup->limits().retry_ratio)) {
    context_->metrics->retries_denied.Increment("budget");
    CloseNotExecuted(
        {ErrorCode::kBackendFailed, "the back end could not be reached", Executed::kNo, 1});
    return;
  }
  SendTo(std::move(decision.backend));
}

void DeliveryRequest::SendTo(BackendPointer backend) {
  const uint32_t number = static_cast<uint32_t>(attempted_backends_.size()) + 1;
  AttemptPlan plan;
  plan.backend = std::move(backend);
  plan.nonce = key_.attempt;
  plan.request.method = "POST";
  plan.request.target = absl::StrCat("/operations/", operation_);
  plan.request.body = call_.request.body;
  AddAttemptHeaders(*context_, call_, plan.nonce, number, &plan.request.headers);
  const runtime::Duration time_left = call_.deadline - context_->runtime->clock->Now();
  plan.call_options.fresh_connection = true;
  plan.call_options.head_timeout = time_left;
  plan.call_options.body_idle_timeout = time_left;
  plan.call_options.max_body_bytes = kMaxStoredBodyBytes;
  context_->metrics->attempts.Increment(number == 1 ? "first" : "retry");
  AttemptListener* const listener = this;
  attempt_ = std::make_shared<UpstreamAttempt>(context_->runtime, context_->backends, listener,
                                               std::move(plan));
  deadline_timer_.Start(time_left, [this] {
    attempt_->Fail({AttemptFailure::Cause::kTimeout, "no response before the deadline"});
  });
  attempt_->Start();
}

void DeliveryRequest::OnStreamHead(const http::Response&) {}
void DeliveryRequest::OnStreamChunk(std::string) {}
void DeliveryRequest::OnStreamEnd() {}

void DeliveryRequest::OnResponseComplete(http::Response response) {
  deadline_timer_.Cancel();
  if (GuaranteesNotExecuted(response)) {
    context_->backends->health()->OnRejected(attempt_->backend(), 0, response.status);
    CloseNotExecuted({ErrorCode::kNoCapacity, "the back end refused the operation before it ran",
                      Executed::kNo, 1});
    return;
  }
  const bool valid =
      response.status != 200 || CheckServiceBody(response.body, call_.request_id, operation_).ok();
  if (!valid || response.body.size() > kMaxStoredBodyBytes) {
    context_->backends->health()->OnFailure(attempt_->backend());
    context_->metrics->attempt_failures.Increment("bad_answer");
    CloseUnknown(
        {ErrorCode::kBackendFailed, "the back end's answer was broken", Executed::kUnknown});
    return;
  }
  context_->backends->health()->OnSuccess(attempt_->backend());
  control::DeliveryOutcome outcome;
  outcome.set_kind(control::DeliveryOutcome::RESPONDED);
  outcome.set_status(static_cast<uint32_t>(response.status));
  outcome.set_content_type(std::string(response.headers.Get(header::kContentType)));
  outcome.set_body(response.body);
  Commit(std::move(outcome), MakeCallerResponse(call_, std::move(response)), "ok");
}

void DeliveryRequest::OnAttemptFailed(AttemptFailure failure) {
  deadline_timer_.Cancel();
  context_->metrics->attempt_failures.Increment(failure.name());
  if (!failure.GuaranteesNotExecuted()) {
    const bool timed_out = failure.cause == AttemptFailure::Cause::kTimeout;
    CloseUnknown({timed_out ? ErrorCode::kTimeout : ErrorCode::kBackendFailed,
                  "the back end was asked and gave no whole answer", Executed::kUnknown});
    return;
  }
  if (attempted_backends_.empty()) context_->retry_budget->RevertFirstAttempt();
  attempted_backends_.push_back(attempt_->backend()->backend.id());
  context_->requests->Discard(std::move(attempt_));
  if (attempted_backends_.size() >= context_->options->max_attempts) {
    CloseNotExecuted({ErrorCode::kBackendFailed, "no back end could be reached", Executed::kNo, 1});
    return;
  }
  Dispatch();
}

void DeliveryRequest::CloseNotExecuted(const ApiError& error) {
  control::DeliveryOutcome outcome;
  outcome.set_kind(control::DeliveryOutcome::NOT_EXECUTED);
  Commit(std::move(outcome), MakeErrorResponse(error), std::string(ErrorCodeName(error.code)));
}

void DeliveryRequest::CloseUnknown(const ApiError& error) {
  control::DeliveryOutcome outcome;
  outcome.set_kind(control::DeliveryOutcome::UNKNOWN);
  Commit(std::move(outcome), MakeErrorResponse(error), std::string(ErrorCodeName(error.code)));
}

void DeliveryRequest::Commit(control::DeliveryOutcome outcome, http::Response response,
                             const std::string& metric_label) {
  std::weak_ptr<ActiveRequest> weak = weak_from_this();
  const auto done = [this, weak, response = std::move(response),
                     metric_label](const auto& result) mutable {
    if (const auto self = weak.lock()) OnCommitted(result, std::move(response), metric_label);
  };
  context_->deliveries->Finish(key_, std::move(outcome), done);
}

void DeliveryRequest::OnCommitted(const absl::StatusOr<control::CommandResult>& result,
                                  http::Response response, const std::string& metric_label) {
  if (!result.ok() || result->code() != control::CommandResult::OK) {
    Reject(RecordUnavailable("the outcome could not be recorded"));
    return;
  }
  context_->metrics->responses.Increment(metric_label);
  context_->metrics->deliveries.Increment(metric_label);
  call_.writer->SendResponse(std::move(response));
  End();
}

void DeliveryRequest::Reject(const ApiError& error) {
  context_->metrics->deliveries.Increment(std::string(ErrorCodeName(error.code)));
  SendError(*context_, call_.writer.get(), error);
  End();
}

void DeliveryRequest::End() {
  deadline_timer_.Cancel();
  context_->requests->Retire(this);
}

}  // namespace posthatch::gateway
