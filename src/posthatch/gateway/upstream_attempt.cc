#include "posthatch/gateway/upstream_attempt.h"

#include <utility>

#include "posthatch/gateway/header_names.h"
#include "posthatch/gateway/response_fields.h"

namespace posthatch::gateway {
namespace {

AttemptFailure ToAttemptFailure(const http::CallError& error) {
  AttemptFailure failure;
  failure.message = error.status.ToString();
  if (error.progress == http::CallProgress::kNotSent) {
    failure.cause = AttemptFailure::Cause::kNotSent;
  } else if (absl::IsDeadlineExceeded(error.status)) {
    failure.cause = AttemptFailure::Cause::kTimeout;
  } else {
    failure.cause = AttemptFailure::Cause::kTruncated;
  }
  return failure;
}

}  // namespace

const char* AttemptFailure::name() const {
  switch (cause) {
    case Cause::kNotSent:
      return "not_sent";
    case Cause::kTruncated:
      return "cut";
    case Cause::kTimeout:
      return "timeout";
    case Cause::kWrongAttempt:
      return "wrong_attempt";
    case Cause::kInvalidResponse:
      return "bad_answer";
    case Cause::kRejected:
      return "refused";
  }
  return "unknown";
}

UpstreamAttempt::UpstreamAttempt(runtime::Runtime* runtime, BackendDirectory* directory,
                                 AttemptListener* listener, AttemptPlan plan)
    : runtime_(runtime), directory_(directory), listener_(listener), plan_(std::move(plan)) {}

UpstreamAttempt::~UpstreamAttempt() { CompleteAttempt(); }

void UpstreamAttempt::Start() {
  started_ = runtime_->clock->Now();
  head_completed_ = false;
  ended_ = false;
  directory_->load()->OnDispatched(plan_.backend.get(), plan_.pending_blocks);
  http::CallObserver observer;
  observer.on_head = [this](const http::Response& head) { OnResponseHead(head); };
  observer.on_chunk = [this](std::string chunk) { OnChunk(std::move(chunk)); };
  observer.on_end = [this] { OnEnd(); };
  observer.on_error = [this](const http::CallError& error) { OnError(error); };
  call_ = runtime_->http_client->Start(plan_.backend->backend.endpoint(), std::move(plan_.request),
                                       plan_.call_options, std::move(observer));
}

void UpstreamAttempt::StopReading() {
  if (!ended_) call_->StopReading();
}

void UpstreamAttempt::ResumeReading() {
  if (!ended_) call_->ResumeReading();
}

void UpstreamAttempt::CompleteHead() {
  if (std::exchange(head_completed_, true)) return;
  directory_->load()->OnResponseHead(plan_.backend.get(), plan_.pending_blocks);
}

void UpstreamAttempt::CompleteAttempt() {
  CompleteHead();
  if (std::exchange(ended_, true)) return;
  directory_->load()->OnEnded(plan_.backend.get());
}

void UpstreamAttempt::OnResponseHead(const http::Response& head) {
  if (ended_) return;
  if (head.headers.Get(header::kAttempt) != plan_.nonce) {
    Fail({AttemptFailure::Cause::kWrongAttempt, "the response is for another attempt"});
    return;
  }
  CompleteHead();
  directory_->health()->OnEpoch(plan_.backend.get(),
                                NumberField(head.headers, header::kWorkerEpoch));
  streaming_ = plan_.stream && head.status == 200;
  if (streaming_) {
    listener_->OnStreamHead(head);
  } else {
    response_ = head;
    response_.body.clear();
  }
}

void UpstreamAttempt::OnChunk(std::string chunk) {
  if (ended_) return;
  if (streaming_) {
    listener_->OnStreamChunk(std::move(chunk));
  } else if (response_.body.empty()) {
    response_.body = std::move(chunk);
  } else {
    response_.body.append(chunk);
  }
}

void UpstreamAttempt::OnEnd() {
  if (ended_) return;
  CompleteAttempt();
  if (streaming_) {
    listener_->OnStreamEnd();
  } else {
    listener_->OnResponseComplete(std::move(response_));
  }
}

void UpstreamAttempt::OnError(const http::CallError& error) {
  if (!ended_) Fail(ToAttemptFailure(error));
}

void UpstreamAttempt::Fail(AttemptFailure failure) {
  if (ended_) return;
  CompleteAttempt();
  directory_->health()->OnFailure(plan_.backend.get(),
                                  failure.cause == AttemptFailure::Cause::kNotSent
                                      ? FailureKind::kUnreachable
                                      : FailureKind::kFailed);
  listener_->OnAttemptFailed(std::move(failure));
}

}  // namespace posthatch::gateway
