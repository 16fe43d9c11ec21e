#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "posthatch/http/http.h"
#include "posthatch/net/http_message.h"
#include "posthatch/net/tcp_stream.h"
#include "prometheus/counter.h"

namespace posthatch::net {

class HttpServerConnection;

// What a server and its connections share.
struct HttpServerContext {
  IoEnvironment* environment = nullptr;
  http::ServerLimits limits;
  std::shared_ptr<const http::Handler> handler;
  bool draining = false;
  // Takes an ended connection out of the server's set; cleared when the server goes away.
  std::function<void(HttpServerConnection*)> on_closed;
  // Counts an answered request by status.
  std::function<void(int status)> count_response;
};

// One caller's connection: reads a request, hands it to the handler, sends the answer, and so on.
// Shared by the server, the answer's writer and pending operations. Event loop thread only.
class HttpServerConnection final : public TcpStream::Owner,
                                   public std::enable_shared_from_this<HttpServerConnection> {
 public:
  HttpServerConnection(std::shared_ptr<HttpServerContext> context, TcpSocket socket,
                       std::string remote_endpoint, uint64_t connection_id);
  ~HttpServerConnection();

  void Start();
  // Closes if idle; otherwise after the running answer.
  void Drain();
  // Ends at once.
  void Close();

  // For the writer of answer number `answer`; ignored once that answer has ended.
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
  enum class Phase { kIdle, kReading, kResponding, kAborting, kLingering, kClosed };

  void ParseRequests();
  bool ParseRequest();
  void StartParser();
  void SendContinue();
  void Dispatch();
  void EndExchange();
  // `head_read`: every field of the request is known.
  void Refuse(int status, std::string_view code, std::string_view message, bool head_read);
  void RejectMalformed(const boost::beast::error_code& error);
  void Linger();
  void HandleDisconnect();
  void UpdateWriteDeadline();
  ResponseFraming Framing(const http::Response& response, bool streamed) const;

  const std::shared_ptr<HttpServerContext> context_;
  const uint64_t connection_id_;
  std::shared_ptr<TcpStream> stream_;
  Phase phase_ = Phase::kIdle;
  bool parsing_requests_ = false;  // guards against recursion through the handler
  bool read_ended_ = false;
  std::string received_;  // not yet parsed
  std::optional<RequestParser> parser_;
  bool continue_sent_ = false;
  bool body_deadline_set_ = false;

  // The running answer.
  uint64_t exchange_ = 0;
  bool keep_alive_ = true;
  bool head_request_ = false;
  int version_ = 11;
  bool streaming_ = false;
  bool chunked_ = false;
  int status_ = 0;
  std::function<void()> on_writable_;
  std::function<void()> on_caller_disconnected_;
  uint64_t lingered_bytes_ = 0;
};

}  // namespace posthatch::net
