#include "posthatch/asio/http_server_connection.h"

#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/json.hpp>
#include <utility>

#include "absl/strings/match.h"
#include "posthatch/util/string_view.h"

namespace posthatch::asio {
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
constexpr size_t kJoinBodyBytes = 8UL * 1024;

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
  stream_->Accepted();
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
  on_caller_gone_ = nullptr;
  if (context_->forget) context_->forget(this);
}

void HttpServerConnection::OnBytes(std::string_view bytes) {
  const auto self = shared_from_this();
  if (phase_ == Phase::kLingering) {
    lingered_bytes_ += bytes.size();
    if (lingered_bytes_ > kLingerBytes) Close();
    return;
  }
  received_.append(bytes);
  if (phase_ == Phase::kAnswering || phase_ == Phase::kAborting) {
    if (received_.size() > kMaxPipelinedBytes) stream_->PauseReading();
    return;
  }
  ReadRequests();
}

void HttpServerConnection::ReadRequests() {
  if (reading_requests_) return;
  reading_requests_ = true;
  while ((phase_ == Phase::kIdle || phase_ == Phase::kReading) && !received_.empty()) {
    if (!ReadRequest()) break;
  }
  reading_requests_ = false;
}

// Returns false if more bytes are needed or the connection is of no more use.
bool HttpServerConnection::ReadRequest() {
  if (phase_ == Phase::kIdle) {
    phase_ = Phase::kReading;
    stream_->SetDeadlineAfter(context_->limits.header_timeout);
  }
  boost::beast::error_code error;
  const size_t used = FeedParser(&*parser_, received_, &error);
  received_.erase(0, used);
  if (received_.empty() && received_.capacity() > kMaxPipelinedBytes) received_ = {};
  if (error) {
    RefuseParse(error);
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
    AnswerContinue();
  }
  return false;
}

// RFC 9110, 10.1.1.
void HttpServerConnection::AnswerContinue() {
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
  HttpResponseWriter(std::shared_ptr<HttpServerConnection> connection, uint64_t answer)
      : connection_(std::move(connection)), answer_(answer) {}
  ~HttpResponseWriter() override { connection_->Abort(answer_); }

  void SendWhole(http::Response response) override {
    connection_->SendWhole(answer_, std::move(response));
  }
  void StartStream(http::Response head) override { connection_->StartStream(answer_, head); }
  void WritePiece(std::string piece) override {
    connection_->WritePiece(answer_, std::move(piece));
  }
  void FinishStream() override { connection_->FinishStream(answer_); }
  void Abort() override { connection_->Abort(answer_); }
  size_t buffered_bytes() const override {
    return connection_->Running(answer_) ? connection_->buffered_bytes() : 0;
  }
  void OnWritable(std::function<void()> callback) override {
    connection_->OnWritable(answer_, std::move(callback));
  }
  void OnCallerGone(std::function<void()> callback) override {
    connection_->OnCallerGone(answer_, std::move(callback));
  }

 private:
  const std::shared_ptr<HttpServerConnection> connection_;
  const uint64_t answer_;
};

void HttpServerConnection::Dispatch() {
  stream_->ClearDeadline();
  phase_ = Phase::kAnswering;
  ++answer_;
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
  (*handler)(std::move(request), std::make_shared<HttpResponseWriter>(shared_from_this(), answer_));
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

void HttpServerConnection::SendWhole(uint64_t answer, http::Response response) {
  if (!Running(answer) || streaming_) return;
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
  if (with_body && response.body.size() <= kJoinBodyBytes) {
    head.append(response.body);
    stream_->Queue(std::move(head));
  } else {
    stream_->Queue(std::move(head));
    if (with_body) stream_->Queue(std::move(response.body));
  }
  stream_->Flush();
  EndAnswer();
}

void HttpServerConnection::StartStream(uint64_t answer, const http::Response& head) {
  if (!Running(answer) || streaming_) return;
  if (head.status < 200 || head.status > 599 || !CheckHeaders(head.headers).ok()) {
    SendWhole(answer, {.status = 500, .headers = {}, .body = {}});
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
  WatchWriting();
}

void HttpServerConnection::WritePiece(uint64_t answer, std::string piece) {
  // An empty chunk would end the body.
  if (!Running(answer) || !streaming_ || piece.empty()) return;
  if (head_request_ || HasNoBody(status_)) return;
  if (chunked_) {
    std::string line;
    AppendChunkStart(piece.size(), &line);
    stream_->QueueCopy(line);
  }
  if (piece.size() <= kJoinBodyBytes) {
    stream_->QueueCopy(piece);
  } else {
    stream_->Queue(std::move(piece));
  }
  if (chunked_) stream_->QueueCopy(kChunkEnd);
  stream_->FlushSoon();
  WatchWriting();
}

void HttpServerConnection::FinishStream(uint64_t answer) {
  if (!Running(answer) || !streaming_) return;
  if (chunked_ && !head_request_) {
    std::string last;
    AppendLastChunk(&last);
    stream_->QueueCopy(last);
  }
  stream_->Flush();
  EndAnswer();
}

void HttpServerConnection::EndAnswer() {
  const auto self = shared_from_this();
  if (context_->count) context_->count(status_);
  // Moved out first: destroying a callback may drop the writer and come back here.
  const auto on_writable = std::exchange(on_writable_, nullptr);
  const auto on_caller_gone = std::exchange(on_caller_gone_, nullptr);
  if (read_ended_ && stream_->queued_bytes() == 0) return Close();
  if (!keep_alive_ || read_ended_ || context_->draining) return Linger();
  phase_ = Phase::kIdle;
  WatchWriting();
  stream_->ResumeReading();
  if (!received_.empty()) ReadRequests();
}

void HttpServerConnection::Abort(uint64_t answer) {
  if (!Running(answer)) return;
  const auto self = shared_from_this();
  phase_ = Phase::kAborting;
  const auto on_writable = std::exchange(on_writable_, nullptr);
  const auto on_caller_gone = std::exchange(on_caller_gone_, nullptr);
  if (context_->count) context_->count(0);
  stream_->Flush();
  if (stream_->queued_bytes() == 0) return OnProgress();
  WatchWriting();
}

void HttpServerConnection::OnWritable(uint64_t answer, std::function<void()> callback) {
  if (!Running(answer)) return;
  on_writable_ = std::move(callback);
  // Reported through the event loop, never from within this call.
  boost::asio::post(*context_->environment->io_context,
                    [self = shared_from_this()] { self->OnProgress(); });
}

void HttpServerConnection::OnCallerGone(uint64_t answer, std::function<void()> callback) {
  if (!Running(answer)) return;
  on_caller_gone_ = std::move(callback);
  if (!read_ended_) return;
  boost::asio::post(*context_->environment->io_context, [self = shared_from_this(), answer] {
    if (self->Running(answer) && self->on_caller_gone_) self->CallerGone();
  });
}

// A caller that takes nothing for the body timeout is given up.
void HttpServerConnection::WatchWriting() {
  if (stream_->queued_bytes() > 0) {
    stream_->SetDeadlineAfter(context_->limits.body_timeout);
  } else if (phase_ == Phase::kIdle) {
    stream_->SetDeadlineAfter(context_->limits.idle_timeout);
  } else if (phase_ == Phase::kAnswering) {
    stream_->ClearDeadline();
  }
}

void HttpServerConnection::OnProgress() {
  const auto self = shared_from_this();
  if (phase_ == Phase::kClosed) return;
  if (phase_ == Phase::kAborting) {
    if (stream_->queued_bytes() > 0) return WatchWriting();
    // Without chunks only a reset shows that the body was cut.
    if (streaming_ && !chunked_) stream_->Reset();
    return Close();
  }
  if (phase_ == Phase::kAnswering || phase_ == Phase::kIdle) WatchWriting();
  if (!on_writable_ || stream_->queued_bytes() * 2 >= context_->limits.max_buffered_bytes) return;
  const auto on_writable = std::exchange(on_writable_, nullptr);
  on_writable();
}

void HttpServerConnection::OnReadEnd() {
  const auto self = shared_from_this();
  read_ended_ = true;
  if (phase_ != Phase::kAnswering && phase_ != Phase::kAborting) return Close();
  // The caller may have closed only its sending side: an answer nobody watches is still sent.
  if (on_caller_gone_) CallerGone();
}

void HttpServerConnection::OnBroken(absl::Status) {
  const auto self = shared_from_this();
  CallerGone();
}

void HttpServerConnection::CallerGone() {
  const auto self = shared_from_this();
  const auto on_caller_gone = std::exchange(on_caller_gone_, nullptr);
  const bool answering = phase_ == Phase::kAnswering;
  Close();
  if (answering && on_caller_gone) on_caller_gone();
}

void HttpServerConnection::OnDeadline() {
  const auto self = shared_from_this();
  switch (phase_) {
    case Phase::kReading:
      return Refuse(408, "timeout", "the request came too slowly", parser_->is_header_done());
    case Phase::kAnswering:
      return CallerGone();
    default:
      return Close();
  }
}

void HttpServerConnection::RefuseParse(const boost::beast::error_code& error) {
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
  if (context_->count) context_->count(status);
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

}  // namespace posthatch::asio
