#include "posthatch/simulation/sim_call.h"

#include <utility>

#include "posthatch/simulation/sim_http_client.h"

namespace posthatch::simulation {

using http::CallProgress;

SimCall::SimCall(SimHttpClient* client, std::string endpoint, http::Request request,
                 http::CallOptions options, http::CallObserver observer)
    : client_(client),
      endpoint_(std::move(endpoint)),
      request_(std::move(request)),
      options_(std::move(options)),
      observer_(std::move(observer)),
      timer_(client->timers()) {}

void SimCall::Begin() {
  if (!options_.fresh_connection) {
    connection_ = client_->TakeIdle(endpoint_, options_.pooled_connections);
  }
  if (connection_ != nullptr) {
    use_ = {connection_->id(), connection_->requests_sent() + 1};
    connection_->set_client_end(shared_from_this());
    SendRequest();
    return;
  }
  connection_ = client_->NewConnection(endpoint_);
  use_ = {connection_->id(), 1};
  connection_->Connect(shared_from_this());
  timer_.Start(options_.connect_timeout,
               [this] { Fail(absl::DeadlineExceededError("connect timed out")); });
}

void SimCall::OnConnected() {
  timer_.Cancel();
  SendRequest();
}

void SimCall::SendRequest() {
  progress_ = CallProgress::kSent;
  connection_->SendRequest(std::move(request_));
  head_deadline_ = client_->clock()->Now() + options_.head_timeout;
  AwaitHead();
}

void SimCall::AwaitHead() {
  if (options_.head_timeout <= runtime::Duration(0)) return;
  timer_.Start(head_deadline_ - client_->clock()->Now(),
               [this] { Fail(absl::DeadlineExceededError("no status line in time")); });
}

bool SimCall::SkipResponse() {
  if (done_) return false;
  skipping_ = true;
  progress_ = CallProgress::kSent;
  return true;
}

void SimCall::OnHead(const http::Response& head) {
  timer_.Cancel();
  progress_ = CallProgress::kHeadReceived;
  last_chunk_at_ = client_->clock()->Now();
  if (options_.body_idle_timeout > runtime::Duration(0))
    StartBodyIdleTimer(options_.body_idle_timeout);
  const auto self = shared_from_this();
  ++running_callbacks_;
  if (observer_.on_head) observer_.on_head(head);
  --running_callbacks_;
  ReleaseObserver();
}

void SimCall::StartBodyIdleTimer(runtime::Duration delay) {
  timer_.Start(delay, [this] { CheckBodyIdle(); });
}

void SimCall::CheckBodyIdle() {
  if (paused_) last_chunk_at_ = client_->clock()->Now();
  const runtime::Duration idle = client_->clock()->Now() - last_chunk_at_;
  if (idle >= options_.body_idle_timeout) {
    Fail(absl::DeadlineExceededError("no piece of the body in time"));
  } else {
    StartBodyIdleTimer(options_.body_idle_timeout - idle);
  }
}

void SimCall::OnChunk(std::string chunk) {
  if (skipping_) return;
  last_chunk_at_ = client_->clock()->Now();
  body_bytes_ += chunk.size();
  if (body_bytes_ > options_.max_body_bytes) {
    Fail(absl::DataLossError("body longer than allowed"));
    return;
  }
  const auto self = shared_from_this();
  ++running_callbacks_;
  if (observer_.on_chunk) observer_.on_chunk(std::move(chunk));
  --running_callbacks_;
  ReleaseObserver();
}

void SimCall::OnEnd() {
  if (skipping_) {
    skipping_ = false;
    return AwaitHead();
  }
  const auto self = shared_from_this();
  const std::function<void()> on_end = std::move(observer_.on_end);
  Finish(true);
  if (on_end) on_end();
}

void SimCall::OnClosed() {
  if (progress_ == CallProgress::kNotSent) {
    Fail(absl::UnavailableError("connection refused"));
  } else if (progress_ == CallProgress::kSent) {
    Fail(absl::UnavailableError("connection closed before the status line"));
  } else {
    Fail(absl::DataLossError("connection closed before the end of the body"));
  }
}

void SimCall::Fail(absl::Status status) {
  if (done_) return;
  const auto self = shared_from_this();
  const std::function<void(http::CallError)> on_error = std::move(observer_.on_error);
  const CallProgress progress = progress_;
  Finish(false);
  if (on_error) on_error(http::CallError{std::move(status), progress});
}

void SimCall::Finish(bool reuse_connection) {
  done_ = true;
  timer_.Cancel();
  ReleaseObserver();
  const std::shared_ptr<HttpConnection> connection = std::move(connection_);
  connection_ = nullptr;
  if (connection == nullptr) return;
  connection->set_client_end(nullptr);
  if (reuse_connection && connection->client_open()) {
    if (paused_) connection->ResumeReading();
    client_->ReturnToPool(endpoint_, connection);
  } else {
    connection->CloseClient();
  }
}

void SimCall::ReleaseObserver() {
  if (!done_ || running_callbacks_ > 0) return;
  const http::CallObserver released = std::move(observer_);
  observer_ = {};
}

void SimCall::Cancel() {
  if (done_) return;
  const auto self = shared_from_this();
  Finish(false);
}

void SimCall::StopReading() {
  if (done_ || paused_) return;
  paused_ = true;
  connection_->StopReading();
}

void SimCall::ResumeReading() {
  if (done_ || !paused_) return;
  paused_ = false;
  last_chunk_at_ = client_->clock()->Now();
  connection_->ResumeReading();
}

}  // namespace posthatch::simulation
