#include "posthatch/net/http_server_connection.h"

#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/json.hpp>
#include <utility>

#include "absl/strings/match.h"
#include "posthatch/util/string_view.h"

namespace posthatch::net {
namespace {

namespace beast_http = boost::beast::http;

// How long, and how far, a caller that was refused may go on sending before the connection is cut:
// closing at once would reset it and lose the refusal (RFC 9112, 9.6).
constexpr runtime::Duration kLingerTime = std::chrono::seconds(1);
constexpr uint64_t kLingerBytes = 64UL * 1024 * 1024;
// Pipelined bytes kept while an answer runs.
constexpr size_t kMaxPipelinedBytes = 64UL * 1024;
// What a chunk's line or a trailer may add to the header limit.
constexpr size_t kMaxUnparsedExtraBytes = 4096;
// Bodies up to this size are copied behind the head, so that both leave in one buffer.
constexpr size_t kMaxInlineBodyBytes = 8UL * 1024;

bool HasNoBody(int status) { return status == 204 || status == 304; }

std::string ErrorBody(std::string_view code, std::string_view message, bool proved_not_executed) {
  const boost::json::object error = {
      {"code", boost::json::string_view(code.data(), code.size())},
      {"message", boost::json::string_view(message.data(), message.size())},
      {"executed", proved_not_executed ? "no" : "unknown"}};
  return boost::json::serialize(boost::json::object{{"error", error}});
}

}  // namespace

HttpServerConnection::HttpServerConnection(std::shared_ptr<HttpServerContext> context,
                                           TcpSocket socket, std::string remote_endpoint,
                                           uint64_t connection_id)
    : context_(std::move(context)),
      connection_id_(connection_id),
      stream_(std::make_shared<TcpStream>(context_->environment, std::move(socket),
                                          std::move(remote_endpoint), this)) {}

HttpServerConnection::~HttpServerConnection() { stream_->Close(); }

void HttpServerConnection::Start() {
  stream_->StartAccepted();
  StartParser();
  stream_->SetDeadlineAfter(context_->limits.header_timeout);
  stream_->ResumeReading();
}

void HttpServerConnection::StartParser() {
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(static_cast<uint32_t>(context_->limits.max_header_bytes));
  parser_->body_limit(context_->limits.max_body_bytes);
  continue_sent_ = false;
  body_deadline_set_ = false;
}

void HttpServerConnection::Drain() {
  if (phase_ == Phase::kIdle) Close();
}

void HttpServerConnection::Close() {
  if (phase_ == Phase::kClosed) return;
  phase_ = Phase::kClosed;
  stream_->Close();
  on_writable_ = nullptr;
  on_caller_disconnected_ = nullptr;
  if (context_->on_closed) context_->on_closed(this);
}

void HttpServerConnection::OnBytes(std::string_view bytes) {
  const auto self = shared_from_this();
  if (phase_ == Phase::kLingering) {
    lingered_bytes_ += bytes.size();
    if (lingered_bytes_ > kLingerBytes) Close();
    return;
  }
  received_.append(bytes);
  if (phase_ == Phase::kResponding || phase_ == Phase::kAborting) {
    if (received_.size() > kMaxPipelinedBytes) stream_->StopReading();
    return;
  }
  ParseRequests();
}

void HttpServerConnection::ParseRequests() {
  if (parsing_requests_) return;
  parsing_requests_ = true;
  while ((phase_ == Phase::kIdle || phase_ == Phase::kReading) && !received_.empty()) {
    if (!ParseRequest()) break;
  }
  parsing_requests_ = false;
}

// Returns false if more bytes are needed or the connection is of no more use.
bool HttpServerConnection::ParseRequest() {
  if (phase_ == Phase::kIdle) {
    phase_ = Phase::kReading;
    stream_->SetDeadlineAfter(context_->limits.header_timeout);
  }
  boost::beast::error_code error;
  const size_t used = FeedParser(&*parser_, received_, &error);
  received_.erase(0, used);
  if (received_.empty() && received_.capacity() > kMaxPipelinedBytes) received_ = {};
  if (error) {
    RejectMalformed(error);
    return false;
  }
  if (parser_->is_done()) {
    Dispatch();
    return true;
  }
  if (received_.size() > context_->limits.max_header_bytes + kMaxUnparsedExtraBytes) {
    Refuse(400, "bad_request", "chunk line or trailer too long", parser_->is_header_done());
    return false;
  }
  if (parser_->is_header_done() && !body_deadline_set_) {
    body_deadline_set_ = true;
    stream_->SetDeadlineAfter(context_->limits.body_timeout);
    SendContinue();
  }
  return false;
}

// RFC 9110, 10.1.1.
void HttpServerConnection::SendContinue() {
  const bool expected =
      absl::EqualsIgnoreCase(util::ToAbsl(parser_->headers.Get("Expect")), "100-continue");
  if (!expected || continue_sent_ || !parser_->body.empty()) return;
  continue_sent_ = true;
  http::Response interim;
  interim.status = 100;
  std::string head;
  AppendResponseHead(interim, {.body = BodyFraming::kNone}, &head);
  stream_->Queue(std::move(head));
  stream_->Flush();
}

// Writer of one answer; aborts it if dropped before its end.
class HttpResponseWriter : public http::ResponseWriter {
 public:
  HttpResponseWriter(std::shared_ptr<HttpServerConnection> connection, uint64_t exchange)
      : connection_(std::move(connection)), exchange_(exchange) {}
  ~HttpResponseWriter() override { connection_->Abort(exchange_); }

  void SendResponse(http::Response response) override {
    connection_->SendResponse(exchange_, std::move(response));
  }
  void StartStream(http::Response head) override { connection_->StartStream(exchange_, head); }
  void WriteChunk(std::string chunk) override {
    connection_->WriteChunk(exchange_, std::move(chunk));
  }
  void FinishStream() override { connection_->FinishStream(exchange_); }
  void Abort() override { connection_->Abort(exchange_); }
  size_t buffered_bytes() const override {
    return connection_->Running(exchange_) ? connection_->buffered_bytes() : 0;
  }
  void OnWritable(std::function<void()> callback) override {
    connection_->OnWritable(exchange_, std::move(callback));
  }
  void OnCallerDisconnected(std::function<void()> callback) override {
    connection_->OnCallerDisconnected(exchange_, std::move(callback));
  }

 private:
  const std::shared_ptr<HttpServerConnection> connection_;
  const uint64_t exchange_;
};

void HttpServerConnection::Dispatch() {
  stream_->ClearDeadline();
  phase_ = Phase::kResponding;
  ++exchange_;
  version_ = parser_->version >= 11 ? 11 : 10;
  keep_alive_ = parser_->keep_alive();
  head_request_ = parser_->method == "HEAD";
  streaming_ = false;
  http::Request request;
  request.method = std::move(parser_->method);
  request.target = std::move(parser_->target);
  request.headers = std::move(parser_->headers);
  request.body = std::move(parser_->body);
  request.connection_id = connection_id_;
  StartParser();
  const auto handler = context_->handler;
  (*handler)(std::move(request),
             std::make_shared<HttpResponseWriter>(shared_from_this(), exchange_));
}

ResponseFraming HttpServerConnection::Framing(const http::Response& response, bool streamed) const {
  ResponseFraming framing;
  framing.version = version_;
  framing.keep_alive = keep_alive_ && !context_->draining && !read_ended_;
  if (HasNoBody(response.status)) {
    framing.body = BodyFraming::kNone;
  } else if (streamed) {
    framing.body = version_ == 11 ? BodyFraming::kChunked : BodyFraming::kUntilClose;
    if (version_ == 10) framing.keep_alive = false;
  }
  return framing;
}

void HttpServerConnection::SendResponse(uint64_t exchange, http::Response response) {
  if (!Running(exchange) || streaming_) return;
  if (response.status < 200 || response.status > 599 || !CheckHeaders(response.headers).ok()) {
    response = {.status = 500, .headers = {}, .body = {}};
  }
  const ResponseFraming framing = Framing(response, false);
  keep_alive_ = framing.keep_alive;
  status_ = response.status;
  std::string head;
  head.reserve(512);
  AppendResponseHead(response, framing, &head);
  const bool with_body = framing.body == BodyFraming::kLength && !head_request_;
  if (with_body && response.body.size() <= kMaxInlineBodyBytes) {
    head.append(response.body);
    stream_->Queue(std::move(head));
  } else {
    stream_->Queue(std::move(head));
    if (with_body) stream_->Queue(std::move(response.body));
  }
  stream_->Flush();
  EndExchange();
}

void HttpServerConnection::StartStream(uint64_t exchange, const http::Response& head) {
  if (!Running(exchange) || streaming_) return;
  if (head.status < 200 || head.status > 599 || !CheckHeaders(head.headers).ok()) {
    SendResponse(exchange, {.status = 500, .headers = {}, .body = {}});
    return;
  }
  streaming_ = true;
  const ResponseFraming framing = Framing(head, true);
  keep_alive_ = framing.keep_alive;
  chunked_ = framing.body == BodyFraming::kChunked;
  status_ = head.status;
  std::string text;
  text.reserve(512);
  AppendResponseHead(head, framing, &text);
  stream_->Queue(std::move(text));
  stream_->FlushSoon();
  UpdateWriteDeadline();
}

void HttpServerConnection::WriteChunk(uint64_t exchange, std::string chunk) {
  // An empty chunk would end the body.
  if (!Running(exchange) || !streaming_ || chunk.empty()) return;
  if (head_request_ || HasNoBody(status_)) return;
  if (chunked_) {
    std::string line;
    AppendChunkStart(chunk.size(), &line);
    stream_->QueueCopy(line);
  }
  if (chunk.size() <= kMaxInlineBodyBytes) {
    stream_->QueueCopy(chunk);
  } else {
    stream_->Queue(std::move(chunk));
  }
  if (chunked_) stream_->QueueCopy(kChunkEnd);
  stream_->FlushSoon();
  UpdateWriteDeadline();
}

void HttpServerConnection::FinishStream(uint64_t exchange) {
  if (!Running(exchange) || !streaming_) return;
  if (chunked_ && !head_request_) {
    std::string last;
    AppendLastChunk(&last);
    stream_->QueueCopy(last);
  }
  stream_->Flush();
  EndExchange();
}

void HttpServerConnection::EndExchange() {
  const auto self = shared_from_this();
  if (context_->count_response) context_->count_response(status_);
  // Moved out first: destroying a callback may drop the writer and come back here.
  const auto on_writable = std::exchange(on_writable_, nullptr);
  const auto on_caller_disconnected = std::exchange(on_caller_disconnected_, nullptr);
  if (read_ended_ && stream_->queued_bytes() == 0) return Close();
  if (!keep_alive_ || read_ended_ || context_->draining) return Linger();
  phase_ = Phase::kIdle;
  UpdateWriteDeadline();
  stream_->ResumeReading();
  if (!received_.empty()) ParseRequests();
}

void HttpServerConnection::Abort(uint64_t exchange) {
  if (!Running(exchange)) return;
  const auto self = shared_from_this();
  phase_ = Phase::kAborting;
  const auto on_writable = std::exchange(on_writable_, nullptr);
  const auto on_caller_disconnected = std::exchange(on_caller_disconnected_, nullptr);
  if (context_->count_response) context_->count_response(0);
  stream_->Flush();
  if (stream_->queued_bytes() == 0) return OnProgress();
  UpdateWriteDeadline();
}

void HttpServerConnection::OnWritable(uint64_t exchange, std::function<void()> callback) {
  if (!Running(exchange)) return;
  on_writable_ = std::move(callback);
  // Reported through the event loop, never from within this call.
  boost::asio::post(*context_->environment->io_context,
                    [self = shared_from_this()] { self->OnProgress(); });
}

void HttpServerConnection::OnCallerDisconnected(uint64_t exchange, std::function<void()> callback) {
  if (!Running(exchange)) return;
  on_caller_disconnected_ = std::move(callback);
  if (!read_ended_) return;
  boost::asio::post(*context_->environment->io_context, [self = shared_from_this(), exchange] {
    if (self->Running(exchange) && self->on_caller_disconnected_) self->HandleDisconnect();
  });
}

// A caller that takes nothing for the body timeout is given up.
void HttpServerConnection::UpdateWriteDeadline() {
  if (stream_->queued_bytes() > 0) {
    stream_->SetDeadlineAfter(context_->limits.body_timeout);
  } else if (phase_ == Phase::kIdle) {
    stream_->SetDeadlineAfter(context_->limits.idle_timeout);
  } else if (phase_ == Phase::kResponding) {
    stream_->ClearDeadline();
  }
}

void HttpServerConnection::OnProgress() {
  const auto self = shared_from_this();
  if (phase_ == Phase::kClosed) return;
  if (phase_ == Phase::kAborting) {
    if (stream_->queued_bytes() > 0) return UpdateWriteDeadline();
    // Without chunks only a reset shows that the body was cut.
    if (streaming_ && !chunked_) stream_->Reset();
    return Close();
  }
  if (phase_ == Phase::kResponding || phase_ == Phase::kIdle) UpdateWriteDeadline();
  if (!on_writable_ || stream_->queued_bytes() * 2 >= context_->limits.max_buffered_bytes) return;
  const auto on_writable = std::exchange(on_writable_, nullptr);
  on_writable();
}

void HttpServerConnection::OnReadEnd() {
  const auto self = shared_from_this();
  read_ended_ = true;
  if (phase_ != Phase::kResponding && phase_ != Phase::kAborting) return Close();
  // The caller may have closed only its sending side: an answer nobody watches is still sent.
  if (on_caller_disconnected_) HandleDisconnect();
}

void HttpServerConnection::OnBroken(absl::Status) {
  const auto self = shared_from_this();
  HandleDisconnect();
}

void HttpServerConnection::HandleDisconnect() {
  const auto self = shared_from_this();
  const auto on_caller_disconnected = std::exchange(on_caller_disconnected_, nullptr);
  const bool answering = phase_ == Phase::kResponding;
  Close();
  if (answering && on_caller_disconnected) on_caller_disconnected();
}

void HttpServerConnection::OnDeadline() {
  const auto self = shared_from_this();
  switch (phase_) {
    case Phase::kReading:
      return Refuse(408, "timeout", "the request came too slowly", parser_->is_header_done());
    case Phase::kResponding:
      return HandleDisconnect();
    default:
      return Close();
  }
}

void HttpServerConnection::RejectMalformed(const boost::beast::error_code& error) {
  if (error == beast_http::error::header_limit) {
    return Refuse(431, "too_large", "header fields over the limit", /*head_read=*/false);
  }
  if (error == beast_http::error::body_limit) {
    // The parser reports it with the last field, and calls the head unfinished.
    return Refuse(413, "too_large", "body over the limit", /*head_read=*/true);
  }
  Refuse(400, "bad_request", "malformed HTTP: " + error.message(), parser_->is_header_done());
}

// Answers a request that was never handed to the handler, and ends the connection.
void HttpServerConnection::Refuse(int status, std::string_view code, std::string_view message,
                                  bool head_read) {
  // An earlier send of the same idempotency key may have run, and an unread head may name one.
  const bool proved = head_read && !parser_->headers.Has("Idempotency-Key");
  http::Response response;
  response.status = status;
  response.headers.Add("Content-Type", "application/json");
  response.body = ErrorBody(code, message, proved);
  std::string text;
  AppendResponseHead(response, {.keep_alive = false}, &text);
  text.append(response.body);
  stream_->Queue(std::move(text));
  if (context_->count_response) context_->count_response(status);
  Linger();
}

// Sends what is queued and the end, and drops what the caller still sends for a while.
void HttpServerConnection::Linger() {
  phase_ = Phase::kLingering;
  received_.clear();
  stream_->ShutdownSend();
  stream_->SetDeadlineAfter(stream_->queued_bytes() > 0 ? context_->limits.body_timeout
                                                        : kLingerTime);
  stream_->ResumeReading();
}

}  // namespace posthatch::net
