#include "posthatch/emulator/recorded_call.h"

#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "posthatch/emulator/json_client.h"
#include "posthatch/util/string_view.h"

namespace posthatch::emulator {

RecordedCall::RecordedCall(runtime::Runtime* runtime, fleettest::HistoryRecorder* recorder,
                           CallPlan plan, Done done)
    : runtime_(runtime),
      recorder_(recorder),
      plan_(std::move(plan)),
      done_(std::move(done)),
      stream_reader_(plan_.sent.nonce(), plan_.sent.expected_pieces()),
      disconnect_timer_(runtime->timers),
      reading_timer_(runtime->timers) {
  ended_.set_call(plan_.sent.call());
  ended_.set_nonce(plan_.sent.nonce());
  ended_.set_idempotency_key(plan_.sent.idempotency_key());
  ended_.set_tenant(plan_.sent.tenant());
  ended_.set_gateway(plan_.sent.gateway());
}

void RecordedCall::Start() {
  fleettest::HistoryEvent event;
  *event.mutable_call_sent() = plan_.sent;
  recorder_->Record(std::move(event));
  sent_at_ = runtime_->clock->Now();
  http::CallObserver observer;
  observer.on_head = [this](const http::Response& head) { OnHead(head); };
  observer.on_chunk = [this](const std::string& bytes) { OnBodyBytes(bytes); };
  observer.on_end = [this] { OnEnd(); };
  observer.on_error = [this](const http::CallError& error) { OnError(error); };
  call_ = runtime_->http_client->Start(plan_.sent.gateway(), BuildRequest(), plan_.options,
                                       std::move(observer));
  if (plan_.disconnect_after > runtime::Duration::zero()) {
    disconnect_timer_.Start(plan_.disconnect_after, [this] { Disconnect(); });
  }
}

http::Request RecordedCall::BuildRequest() const {
  http::Request request = JsonRequest("POST", plan_.target, plan_.body);
  request.headers.Add("Authorization", "Bearer " + plan_.key);
  request.headers.Add("X-Request-Id", plan_.sent.nonce());
  if (!plan_.sent.idempotency_key().empty()) {
    request.headers.Add("Idempotency-Key", plan_.sent.idempotency_key());
  }
  return request;
}

void RecordedCall::OnHead(const http::Response& head) {
  ended_.set_status(static_cast<uint32_t>(head.status));
  ended_.set_attempt(std::string(head.headers.Get("X-Posthatch-Attempt")));
  uint32_t retry_after_s = 0;
  if (absl::SimpleAtoi(util::ToAbsl(head.headers.Get("Retry-After")), &retry_after_s)) {
    ended_.set_retry_after_s(retry_after_s);
  }
  streamed_ = absl::StartsWith(util::ToAbsl(head.headers.Get("Content-Type")), "text/event-stream");
}

void RecordedCall::OnBodyBytes(const std::string& bytes) {
  if (!streamed_) {
    complete_body_ += bytes;
    return;
  }
  RecordTokens(stream_reader_.Feed(bytes));
  if (plan_.reading_pause > runtime::Duration::zero()) StopReading();
}

void RecordedCall::RecordTokens(uint32_t chunks) {
  if (chunks == 0) return;
  const runtime::MonotonicTime now = runtime_->clock->Now();
  for (uint32_t i = 0; i < chunks; ++i) {
    if (ended_.first_token_ns() == 0) {
      ended_.set_first_token_ns((now - sent_at_).count());
    } else {
      ended_.add_token_gaps_ns((now - last_token_at_).count());
    }
    last_token_at_ = now;
  }
}

void RecordedCall::StopReading() {
  if (reading_timer_.running() || call_ == nullptr) return;
  call_->StopReading();
  reading_timer_.Start(plan_.reading_pause, [this] { call_->ResumeReading(); });
}

void RecordedCall::OnEnd() {
  if (streamed_) {
    stream_reader_.End();
    ended_.set_complete(stream_reader_.findings().done);
  } else {
    ended_.set_complete(true);
  }
  Finish();
}

void RecordedCall::OnError(const http::CallError& error) {
  if (streamed_) stream_reader_.End();
  if (ended_.status() == 0 && error.progress == http::CallProgress::kNotSent) {
    ended_.set_fault("not sent: " + std::string(util::ToStd(error.status.message())));
  }
  Finish();
}

void RecordedCall::Disconnect() {
  if (finished_) return;
  ended_.set_caller_left(true);
  call_.reset();
  Finish();
}

void RecordedCall::CopyFindings(const ResponseFindings& findings) {
  ended_.set_echoed_nonce(findings.echoed_nonce);
  ended_.set_run(findings.run);
  ended_.set_body_intact(findings.intact);
  ended_.set_code(findings.code);
  ended_.set_executed(findings.executed);
  if (!findings.fault.empty()) ended_.set_fault(findings.fault);
  for (const uint32_t chunk : findings.chunks) ended_.add_pieces(chunk);
  for (const std::string& run : findings.chunk_runs) ended_.add_piece_runs(run);
}

void RecordedCall::Finish() {
  if (finished_) return;
  finished_ = true;
  disconnect_timer_.Cancel();
  reading_timer_.Cancel();
  if (streamed_) {
    CopyFindings(stream_reader_.findings());
  } else if (ended_.complete()) {
    CopyFindings(ReadCompleteResponse(static_cast<int>(ended_.status()), complete_body_,
                                      plan_.sent.nonce(), plan_.sent.expected_pieces()));
  }
  fleettest::HistoryEvent event;
  *event.mutable_call_ended() = ended_;
  recorder_->Record(std::move(event));
  done_(ended_);
}

}  // namespace posthatch::emulator
