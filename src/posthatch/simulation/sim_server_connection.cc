#include "posthatch/simulation/sim_server_connection.h"

#include <utility>

#include "posthatch/simulation/sim_http_server.h"

namespace posthatch::simulation {
namespace {

constexpr int kContentTooLarge = 413;
constexpr int kHeaderFieldsTooLarge = 431;

class SimResponseWriter : public http::ResponseWriter {
 public:
  // `timers` outlives the process's callbacks.
  SimResponseWriter(std::weak_ptr<SimServerConnection> connection, uint64_t exchange,
                    runtime::TimerService* timers)
      : connection_(std::move(connection)), exchange_(exchange), timers_(timers) {}
  ~SimResponseWriter() override {
    if (const auto connection = connection_.lock()) connection->Abort(exchange_);
  }

  void SendResponse(http::Response response) override {
    ended_ = true;
    if (const auto connection = connection_.lock()) {
      connection->SendResponse(exchange_, std::move(response));
    }
  }
  void StartStream(http::Response head) override {
    if (const auto connection = connection_.lock()) {
      connection->StartStream(exchange_, std::move(head));
    }
  }
  void WriteChunk(std::string chunk) override {
    if (const auto connection = connection_.lock()) {
      connection->WriteChunk(exchange_, std::move(chunk));
    }
  }
  void FinishStream() override {
    ended_ = true;
    if (const auto connection = connection_.lock()) connection->FinishStream(exchange_);
  }
  void Abort() override {
    ended_ = true;
    if (const auto connection = connection_.lock()) connection->Abort(exchange_);
  }
  size_t buffered_bytes() const override {
    const auto connection = connection_.lock();
    return connection == nullptr ? 0 : connection->buffered_bytes(exchange_);
  }
  void OnWritable(std::function<void()> callback) override {
    if (const auto connection = connection_.lock()) {
      connection->OnWritable(exchange_, std::move(callback));
    }
  }
  void OnCallerDisconnected(std::function<void()> callback) override {
    const auto connection = connection_.lock();
    if (connection != nullptr && connection->Running(exchange_)) {
      connection->OnCallerDisconnected(exchange_, std::move(callback));
    } else if (!ended_) {
      timers_->Schedule(runtime::Duration::zero(), std::move(callback));
    }
  }

 private:
  const std::weak_ptr<SimServerConnection> connection_;
  const uint64_t exchange_;
  runtime::TimerService* const timers_;
  bool ended_ = false;  // the response, unless the caller disconnected before
};

size_t HeaderBytes(const http::Request& request) {
  size_t bytes = request.method.size() + request.target.size();
  for (const auto& [name, value] : request.headers.fields()) bytes += name.size() + value.size();
  return bytes;
}

}  // namespace

SimServerConnection::SimServerConnection(SimHttpServer* server,
                                         std::shared_ptr<HttpConnection> connection)
    : server_(server), connection_(std::move(connection)), idle_timer_(server->timers()) {}

void SimServerConnection::OnAccepted() { sent_after_ = server_->core()->queue.now(); }

void SimServerConnection::OnRequest(http::Request request) {
  if (closed_ || running_exchange_ != 0) return;
  if (sent_after_ == runtime::MonotonicTime()) OnAccepted();
  request.sent_after = sent_after_;
  idle_timer_.Cancel();
  running_exchange_ = ++last_exchange_;
  stream_started_ = false;
  if (HeaderBytes(request) > server_->limits().max_header_bytes) {
    RejectRequest(kHeaderFieldsTooLarge);
  } else if (request.body.size() > server_->limits().max_body_bytes) {
    RejectRequest(kContentTooLarge);
  } else {
    server_->Handle(std::move(request),
                    std::make_shared<SimResponseWriter>(weak_from_this(), running_exchange_,
                                                        server_->timers()));
  }
}

void SimServerConnection::RejectRequest(int status) {
  close_requested_ = true;
  http::Response response;
  response.status = status;
  SendResponse(running_exchange_, std::move(response));
}

void SimServerConnection::OnClosed() {
  // The callback may drop the last other reference to this connection.
  const auto self = shared_from_this();
  const std::function<void()> on_caller_disconnected = std::move(on_caller_disconnected_);
  const bool running = running_exchange_ != 0;
  Close();
  if (running && on_caller_disconnected) on_caller_disconnected();
}

void SimServerConnection::SendResponse(uint64_t exchange, http::Response response) {
  if (!Running(exchange) || stream_started_) return;
  DrawCopies(response, runtime::Duration::zero());
  connection_->SendResponse(std::move(response));
  EndExchange();
}

void SimServerConnection::DrawCopies(const http::Response& response,
                                     runtime::Duration since_response) {
  const ResponseCopies& copies = server_->response_copies();
  if (copies.share <= 0 || !server_->core()->random.Chance(copies.share)) return;
  const runtime::Duration delay =
      since_response + server_->core()->random.Between(copies.min_delay, copies.max_delay);
  server_->timers()->Schedule(delay, [weak = weak_from_this(), response] {
    if (const auto self = weak.lock()) self->SendCopy(response);
  });
  DrawCopies(response, delay);
}

void SimServerConnection::SendCopy(const http::Response& response) {
  const bool within_stream = running_exchange_ != 0 && stream_started_;
  if (!closed_ && !within_stream) connection_->SendResponseAtOnce(response);
}

void SimServerConnection::StartStream(uint64_t exchange, http::Response head) {
  if (!Running(exchange) || stream_started_) return;
  stream_started_ = true;
  connection_->SendHead(std::move(head));
}

void SimServerConnection::WriteChunk(uint64_t exchange, std::string chunk) {
  if (!Running(exchange) || !stream_started_ || chunk.empty()) return;
  connection_->SendChunk(std::move(chunk));
}

void SimServerConnection::FinishStream(uint64_t exchange) {
  if (!Running(exchange) || !stream_started_) return;
  connection_->SendEnd();
  EndExchange();
}

void SimServerConnection::Abort(uint64_t exchange) {
  if (!Running(exchange)) return;
  const auto self = shared_from_this();
  Close();
}

size_t SimServerConnection::buffered_bytes(uint64_t exchange) const {
  return Running(exchange) ? connection_->response_buffered_bytes() : 0;
}

void SimServerConnection::OnWritable(uint64_t exchange, std::function<void()> callback) {
  if (!Running(exchange)) return;
  connection_->NotifyWritable(server_->limits().max_buffered_bytes / 2,
                              [weak = weak_from_this(), exchange, callback = std::move(callback)] {
                                const auto self = weak.lock();
                                if (self != nullptr && self->Running(exchange)) callback();
                              });
}

void SimServerConnection::OnCallerDisconnected(uint64_t exchange, std::function<void()> callback) {
  if (Running(exchange)) on_caller_disconnected_ = std::move(callback);
}

void SimServerConnection::EndExchange() {
  const auto self = shared_from_this();
  running_exchange_ = 0;
  sent_after_ = server_->core()->queue.now();
  const std::function<void()> released = std::move(on_caller_disconnected_);
  on_caller_disconnected_ = nullptr;
  if (close_requested_ || server_->draining()) {
    Close();
    return;
  }
  idle_timer_.Start(server_->limits().idle_timeout, [this] { Close(); });
}

void SimServerConnection::CloseWhenIdle() {
  close_requested_ = true;
  if (running_exchange_ == 0) Close();
}

void SimServerConnection::Close() {
  if (closed_) return;
  closed_ = true;
  const auto self = shared_from_this();
  idle_timer_.Cancel();
  running_exchange_ = 0;
  const std::function<void()> released = std::move(on_caller_disconnected_);
  on_caller_disconnected_ = nullptr;
  connection_->CloseServer();
  server_->Remove(connection_->id());
}

}  // namespace posthatch::simulation
