#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "posthatch/http/http.h"
#include "posthatch/net/http_request_reader.h"
#include "posthatch/net/http_response_encoder.h"
#include "posthatch/net/tcp_stream.h"

namespace posthatch::net {

class HttpServerConnection;

// The server that a connection belongs to.
class HttpConnectionOwner {
 public:
  // The connection has ended; the server drops its reference.
  virtual void OnConnectionClosed(HttpServerConnection* connection) = 0;
  // A response with `status` has ended; 0 if it was aborted.
  virtual void OnResponseEnded(int status) = 0;

 protected:
  ~HttpConnectionOwner() = default;
};

// State shared by a server and its connections. Outlives the server, since response writers own
// connections.
struct HttpServerContext {
  IoEnvironment* environment = nullptr;
  http::ServerLimits limits;
  std::shared_ptr<const http::Handler> handler;
  bool draining = false;
  HttpConnectionOwner* owner = nullptr;  // null once the server is gone
};

// One caller's connection: reads a request, passes it to the handler, sends the response, and
// repeats. A request and its response are an exchange, numbered from 1. Shared by the server,
// response writers and pending operations. Event loop thread only.
class HttpServerConnection final : public TcpStream::Owner,
                                   public std::enable_shared_from_this<HttpServerConnection> {
 public:
  HttpServerConnection(std::shared_ptr<HttpServerContext> context, TcpSocket socket,
                       std::string remote_endpoint, uint64_t connection_id);
  ~HttpServerConnection();

  void Start();
  // Closes now if idle, otherwise after the response in progress.
  void Drain();
  // Closes immediately.
  void Close();

  // The methods with `exchange` are called by its response writer; they do nothing once the
  // exchange has ended.
  bool Running(uint64_t exchange) const {
    return phase_ == Phase::kResponding && exchange == exchange_;
  }
  void SendResponse(uint64_t exchange, http::Response response);
  void StartStream(uint64_t exchange, const http::Response& head);
  void WriteChunk(uint64_t exchange, std::string chunk);
  void FinishStream(uint64_t exchange);
  void Abort(uint64_t exchange);
  size_t buffered_bytes() const { return stream_->queued_bytes(); }
  void OnWritable(uint64_t exchange, std::function<void()> callback);
  void OnCallerDisconnected(uint64_t exchange, std::function<void()> callback);

  void OnBytes(std::string_view bytes) override;
  void OnReadEnd() override;
  void OnBroken(absl::Status status) override;
  void OnProgress() override;
  void OnDeadline() override;

 private:
  enum class Phase {
    kIdle,        // between requests
    kReading,     // part of a request was received
    kResponding,  // the handler processes the request
    kAborting,    // the response was aborted; queued bytes are still sent
    kLingering,   // the last response is being sent; received bytes are dropped
    kClosed,
  };

  void ParseRequests();
  // Returns false if more bytes are needed or the connection accepts no further request.
  bool ParseRequest();
  void SendContinue();
  void Dispatch();
  void EndExchange();
  void CountResponse(int status);
  // Responds to a request that was not passed to the handler, and closes the connection.
  void Reject(const HttpRejection& rejection);
  // Sends what is queued, closes the sending side, and discards received bytes for a limited time.
  void Linger();
  void HandleDisconnect();
  void UpdateWriteDeadline();
  // Whether the connection may serve another request after this response.
  bool MayKeepAlive() const { return !context_->draining && !read_ended_; }

  const std::shared_ptr<HttpServerContext> context_;
  const uint64_t connection_id_;
  std::shared_ptr<TcpStream> stream_;
  HttpRequestReader reader_;
  Phase phase_ = Phase::kIdle;
  bool parsing_requests_ = false;  // guards against recursion through the handler
  bool read_ended_ = false;
  uint64_t lingered_bytes_ = 0;
  runtime::MonotonicTime sent_after_;  // value of http::Request::sent_after for the next request

  // Number and state of the exchange in progress.
  uint64_t exchange_ = 0;
  uint64_t disconnected_exchange_ = 0;          // the exchange during which the caller disconnected
  std::optional<HttpResponseEncoder> encoder_;  // set while kResponding and kAborting
  std::function<void()> on_writable_;
  std::function<void()> on_caller_disconnected_;
};

}  // namespace posthatch::net
