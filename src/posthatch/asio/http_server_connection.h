#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "posthatch/asio/http_message.h"
#include "posthatch/asio/tcp_stream.h"
#include "posthatch/http/http.h"
#include "prometheus/counter.h"

namespace posthatch::asio {

class HttpServerConnection;

// What a server and its connections share.
struct HttpServerContext {
  IoEnvironment* environment = nullptr;
  http::ServerLimits limits;
  std::shared_ptr<const http::Handler> handler;
  bool draining = false;
  // Takes an ended connection out of the server's set; cleared when the server goes away.
  std::function<void(HttpServerConnection*)> forget;
  // Counts an answered request by status.
  std::function<void(int status)> count;
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
  bool Running(uint64_t answer) const { return phase_ == Phase::kAnswering && answer == answer_; }
  void SendWhole(uint64_t answer, http::Response response);
  void StartStream(uint64_t answer, const http::Response& head);
  void WritePiece(uint64_t answer, std::string piece);
  void FinishStream(uint64_t answer);
  void Abort(uint64_t answer);
  size_t buffered_bytes() const { return stream_->queued_bytes(); }
  void OnWritable(uint64_t answer, std::function<void()> callback);
  void OnCallerGone(uint64_t answer, std::function<void()> callback);

  void OnBytes(std::string_view bytes) override;
  void OnReadEnd() override;
  void OnBroken(absl::Status status) override;
  void OnProgress() override;
  void OnDeadline() override;

 private:
  enum class Phase { kIdle, kReading, kAnswering, kAborting, kLingering, kClosed };

  void ReadRequests();
  bool ReadRequest();
  void StartParser();
  void AnswerContinue();
  void Dispatch();
  void EndAnswer();
  // `head_read`: every field of the request is known.
  void Refuse(int status, std::string_view code, std::string_view message, bool head_read);
  void RefuseParse(const boost::beast::error_code& error);
  void Linger();
  void CallerGone();
  void WatchWriting();
  ResponseFraming Framing(const http::Response& response, bool streamed) const;

  const std::shared_ptr<HttpServerContext> context_;
  const uint64_t connection_id_;
  std::shared_ptr<TcpStream> stream_;
  Phase phase_ = Phase::kIdle;
  bool reading_requests_ = false;  // guards against recursion through the handler
  bool read_ended_ = false;
  std::string received_;  // not yet parsed
  std::optional<RequestParser> parser_;
  bool continue_sent_ = false;
  bool body_deadline_set_ = false;

  // The running answer.
  uint64_t answer_ = 0;
  bool keep_alive_ = true;
  bool head_request_ = false;
  int version_ = 11;
  bool streaming_ = false;
  bool chunked_ = false;
  int status_ = 0;
  std::function<void()> on_writable_;
  std::function<void()> on_caller_gone_;
  uint64_t lingered_bytes_ = 0;
};

}  // namespace posthatch::asio
