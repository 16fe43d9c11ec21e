#include "posthatch/gateway/proxy_attempt.h"

#include <charconv>
#include <utility>

namespace posthatch::gateway {
namespace {

AttemptFailure FailureOf(const http::CallError& error) {
  AttemptFailure failure;
  failure.message = error.status.ToString();
  if (error.progress == http::CallProgress::kNotSent) {
    failure.cause = AttemptFailure::Cause::kNotSent;
  } else if (absl::IsDeadlineExceeded(error.status)) {
    failure.cause = AttemptFailure::Cause::kTimeout;
  } else {
    failure.cause = AttemptFailure::Cause::kCut;
  }
  return failure;
}

uint64_t ParseNumber(std::string_view text) {
  uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

const char* AttemptFailure::name() const {
  switch (cause) {
    case Cause::kNotSent:
      return "not_sent";
    case Cause::kCut:
      return "cut";
    case Cause::kTimeout:
      return "timeout";
    case Cause::kWrongAttempt:
      return "wrong_attempt";
    case Cause::kBadAnswer:
      return "bad_answer";
    case Cause::kRefused:
      return "refused";
  }
  return "unknown";
}

ProxyAttempt::ProxyAttempt(runtime::Runtime* runtime, BackendDirectory* directory,
                           AttemptListener* listener, AttemptPlan plan)
    : runtime_(runtime), directory_(directory), listener_(listener), plan_(std::move(plan)) {}

ProxyAttempt::~ProxyAttempt() { SettleEnd(); }

void ProxyAttempt::Start() {
  started_ = runtime_->clock->Now();
  head_settled_ = false;
  ended_ = false;
  directory_->OnDispatched(plan_.backend.get(), plan_.pending_blocks);
  http::CallObserver observer;
  observer.on_head = [this](const http::Response& head) { OnHead(head); };
  observer.on_piece = [this](std::string piece) { OnPiece(std::move(piece)); };
  observer.on_end = [this] { OnEnd(); };
  observer.on_error = [this](const http::CallError& error) { OnError(error); };
  call_ = runtime_->http_client->Start(plan_.backend->backend.endpoint(), std::move(plan_.request),
                                       plan_.call_options, std::move(observer));
}

void ProxyAttempt::PauseReading() {
  if (!ended_) call_->PauseReading();
}

void ProxyAttempt::ResumeReading() {
  if (!ended_) call_->ResumeReading();
}

void ProxyAttempt::SettleHead() {
  if (std::exchange(head_settled_, true)) return;
  directory_->OnHead(plan_.backend.get(), plan_.pending_blocks);
}

void ProxyAttempt::SettleEnd() {
  SettleHead();
  if (std::exchange(ended_, true)) return;
  directory_->OnEnded(plan_.backend.get());
}

void ProxyAttempt::OnHead(const http::Response& head) {
  if (ended_) return;
  if (head.headers.Get("X-Posthatch-Attempt") != plan_.nonce) {
    Fail({AttemptFailure::Cause::kWrongAttempt, "the answer is not for this attempt"});
    return;
  }
  SettleHead();
  directory_->OnEpoch(plan_.backend.get(), ParseNumber(head.headers.Get("X-Worker-Epoch")));
  streaming_ = plan_.stream && head.status == 200;
  if (streaming_) {
    listener_->OnStreamHead(head);
  } else {
    answer_ = head;
    answer_.body.clear();
  }
}

void ProxyAttempt::OnPiece(std::string piece) {
  if (ended_) return;
  if (streaming_) {
    listener_->OnStreamPiece(std::move(piece));
  } else if (answer_.body.empty()) {
    answer_.body = std::move(piece);
  } else {
    answer_.body.append(piece);
  }
}

void ProxyAttempt::OnEnd() {
  if (ended_) return;
  SettleEnd();
  if (streaming_) {
    listener_->OnStreamEnd();
  } else {
    listener_->OnWholeAnswer(std::move(answer_));
  }
}

void ProxyAttempt::OnError(const http::CallError& error) {
  if (!ended_) Fail(FailureOf(error));
}

void ProxyAttempt::Fail(AttemptFailure failure) {
  if (ended_) return;
  SettleEnd();
  directory_->OnFailure(plan_.backend.get(), failure.cause == AttemptFailure::Cause::kNotSent);
  listener_->OnAttemptFailed(std::move(failure));
}

}  // namespace posthatch::gateway
