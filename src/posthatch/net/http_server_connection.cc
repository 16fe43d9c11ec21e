#include "posthatch/net/http_server_connection.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "posthatch/net/http_response_writer.h"

namespace posthatch::net {
namespace {

// Lingering close: how long and for how many bytes the caller of a rejected request may continue
// sending. Closing immediately would reset the connection and lose the response (RFC 9112, 9.6).
constexpr runtime::Duration kLingerTime = std::chrono::seconds(1);
constexpr uint64_t kLingerBytes = 64UL * 1024 * 1024;
// Pipelined bytes buffered while a response is in progress.
constexpr size_t kMaxPipelinedBytes = 64UL * 1024;

}  // namespace

HttpServerConnection::HttpServerConnection(std::shared_ptr<HttpServerContext> context,
                                           TcpSocket socket, std::string remote_endpoint,
                                           uint64_t connection_id)
    : context_(std::move(context)),
      connection_id_(connection_id),
      stream_(std::make_shared<TcpStream>(context_->environment, std::move(socket),
                                          std::move(remote_endpoint), this)),
      reader_(&context_->limits) {}

HttpServerConnection::~HttpServerConnection() { stream_->Close(); }

void HttpServerConnection::Start() {
  sent_after_ = BootNow();
  stream_->StartAccepted();
  stream_->SetDeadlineAfter(context_->limits.header_timeout);
  stream_->ResumeReading();
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
  if (context_->owner != nullptr) context_->owner->OnConnectionClosed(this);
}

void HttpServerConnection::OnBytes(std::string_view bytes) {
  const auto self = shared_from_this();
  if (phase_ == Phase::kLingering) {
    lingered_bytes_ += bytes.size();
    if (lingered_bytes_ > kLingerBytes) Close();
    return;
  }
  reader_.Append(bytes);
  if (phase_ == Phase::kResponding || phase_ == Phase::kAborting) {
    if (reader_.unparsed_bytes() > kMaxPipelinedBytes) stream_->StopReading();
    return;
  }
  ParseRequests();
}

void HttpServerConnection::ParseRequests() {
  if (parsing_requests_) return;
  parsing_requests_ = true;
  while ((phase_ == Phase::kIdle || phase_ == Phase::kReading) && reader_.unparsed_bytes() > 0) {
    if (!ParseRequest()) break;
  }
  parsing_requests_ = false;
}

bool HttpServerConnection::ParseRequest() {
  if (phase_ == Phase::kIdle) {
    phase_ = Phase::kReading;
    stream_->SetDeadlineAfter(context_->limits.header_timeout);
  }
  switch (reader_.Parse()) {
    case HttpRequestReader::Progress::kComplete:
      Dispatch();
      return true;
    case HttpRequestReader::Progress::kRejected:
      Reject(reader_.rejection());
      return false;
    case HttpRequestReader::Progress::kHeadComplete:
      stream_->SetDeadlineAfter(context_->limits.body_timeout);
      if (reader_.ExpectsContinue()) SendContinue();
      return false;
    case HttpRequestReader::Progress::kIncomplete:
      return false;
  }
  return false;
}

void HttpServerConnection::SendContinue() {
  http::Response interim;
  interim.status = 100;
  std::string head;
  AppendResponseHead(interim, {.body = BodyFraming::kNone}, &head);
  stream_->Queue(std::move(head));
  stream_->Flush();
}

void HttpServerConnection::Dispatch() {
  stream_->ClearDeadline();
  phase_ = Phase::kResponding;
  ++exchange_;
  HttpRequestReader::ParsedRequest parsed = reader_.TakeRequest();
  parsed.request.connection_id = connection_id_;
  parsed.request.sent_after = sent_after_;
  encoder_.emplace(stream_.get(), parsed);
  const auto handler = context_->handler;
  (*handler)(std::move(parsed.request),
             std::make_shared<HttpResponseWriter>(shared_from_this(), exchange_));
}

void HttpServerConnection::SendResponse(uint64_t exchange, http::Response response) {
  if (!Running(exchange) || encoder_->streaming()) return;
  encoder_->SendComplete(std::move(response), MayKeepAlive());
  EndExchange();
}

void HttpServerConnection::StartStream(uint64_t exchange, const http::Response& head) {
  if (!Running(exchange) || encoder_->streaming()) return;
  if (!HttpResponseEncoder::IsValid(head)) {
    SendResponse(exchange, {.status = 500, .headers = {}, .body = {}});
    return;
  }
  encoder_->StartStream(head, MayKeepAlive());
  UpdateWriteDeadline();
}

void HttpServerConnection::WriteChunk(uint64_t exchange, std::string chunk) {
  if (!Running(exchange) || !encoder_->streaming()) return;
  if (encoder_->WriteChunk(std::move(chunk))) UpdateWriteDeadline();
}

void HttpServerConnection::FinishStream(uint64_t exchange) {
  if (!Running(exchange) || !encoder_->streaming()) return;
  encoder_->FinishStream();
  EndExchange();
}

void HttpServerConnection::EndExchange() {
  const auto self = shared_from_this();
  CountResponse(encoder_->status());
  // Moved out first: destroying a callback may drop the writer and re-enter.
  const auto on_writable = std::exchange(on_writable_, nullptr);
  const auto on_caller_disconnected = std::exchange(on_caller_disconnected_, nullptr);
  if (read_ended_ && stream_->queued_bytes() == 0) return Close();
  if (!encoder_->keep_alive() || !MayKeepAlive()) return Linger();
  phase_ = Phase::kIdle;
  // A pipelined request was sent before the end of this response.
  if (reader_.unparsed_bytes() == 0) sent_after_ = BootNow();
  UpdateWriteDeadline();
  stream_->ResumeReading();
  if (reader_.unparsed_bytes() > 0) ParseRequests();
}

void HttpServerConnection::CountResponse(int status) {
  if (context_->owner != nullptr) context_->owner->OnResponseEnded(status);
}

void HttpServerConnection::Abort(uint64_t exchange) {
  if (!Running(exchange)) return;
  const auto self = shared_from_this();
  phase_ = Phase::kAborting;
  const auto on_writable = std::exchange(on_writable_, nullptr);
  const auto on_caller_disconnected = std::exchange(on_caller_disconnected_, nullptr);
  CountResponse(0);
  stream_->Flush();
  if (stream_->queued_bytes() == 0) return OnProgress();
  UpdateWriteDeadline();
}

void HttpServerConnection::OnWritable(uint64_t exchange, std::function<void()> callback) {
  if (!Running(exchange)) return;
  on_writable_ = std::move(callback);
  // The callback runs from the event loop, never within this call.
  boost::asio::post(*context_->environment->io_context,
                    [self = shared_from_this()] { self->OnProgress(); });
}

void HttpServerConnection::OnCallerDisconnected(uint64_t exchange, std::function<void()> callback) {
  if (exchange == disconnected_exchange_) {
    boost::asio::post(*context_->environment->io_context, std::move(callback));
    return;
  }
  if (!Running(exchange)) return;
  on_caller_disconnected_ = std::move(callback);
  if (!read_ended_) return;
  boost::asio::post(*context_->environment->io_context, [self = shared_from_this(), exchange] {
    if (self->Running(exchange) && self->on_caller_disconnected_) self->HandleDisconnect();
  });
}

// The write deadline: a caller that reads nothing of its response for the body timeout is
// disconnected.
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
    // Without chunked coding only a reset shows the caller that the body is incomplete.
    if (encoder_->streaming() && !encoder_->chunked()) stream_->Reset();
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
  // The caller may have closed only its sending side: a response without a disconnect callback is
  // still sent.
  if (on_caller_disconnected_) HandleDisconnect();
}

void HttpServerConnection::OnBroken(absl::Status) {
  const auto self = shared_from_this();
  HandleDisconnect();
}

void HttpServerConnection::HandleDisconnect() {
  const auto self = shared_from_this();
  const auto on_caller_disconnected = std::exchange(on_caller_disconnected_, nullptr);
  const bool responding = phase_ == Phase::kResponding;
  if (responding) disconnected_exchange_ = exchange_;
  Close();
  if (responding && on_caller_disconnected) on_caller_disconnected();
}

void HttpServerConnection::OnDeadline() {
  const auto self = shared_from_this();
  switch (phase_) {
    case Phase::kReading:
      return Reject({408, "timeout", "the request came too slowly", reader_.ProvenNotExecuted()});
    case Phase::kResponding:
      return HandleDisconnect();
    default:
      return Close();
  }
}

void HttpServerConnection::Reject(const HttpRejection& rejection) {
  const http::Response response = MakeRejectionResponse(rejection);
  std::string text;
  AppendResponseHead(response, {.keep_alive = false}, &text);
  text.append(response.body);
  stream_->Queue(std::move(text));
  CountResponse(rejection.status);
  Linger();
}

void HttpServerConnection::Linger() {
  phase_ = Phase::kLingering;
  reader_.DropUnparsed();
  stream_->ShutdownSend();
  stream_->SetDeadlineAfter(stream_->queued_bytes() > 0 ? context_->limits.body_timeout
                                                        : kLingerTime);
  stream_->ResumeReading();
}

}  // namespace posthatch::net
