#include "posthatch/net/http_client_connection.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "posthatch/util/string_view.h"

namespace posthatch::net {
namespace {

constexpr uint32_t kMaxHeaderBytes = 64 * 1024;
// A server that has not acknowledged a single byte of a request within this time is considered
// unreachable. The connection is reset, so that the kernel does not deliver the request after the
// call has failed.
constexpr runtime::Duration kDeliveryTimeout = std::chrono::milliseconds(700);
// Limit for the bytes of an incomplete chunk line or trailer line.
constexpr size_t kMaxUnparsedBytes = kMaxHeaderBytes + 4096;
// Bodies up to this size are appended to the head, so that both are sent in one buffer.
constexpr size_t kMaxInlineBodyBytes = 8UL * 1024;

bool IsInformational(int status) { return status >= 100 && status < 200; }

// The timeout of a Keep-Alive field such as "timeout=5, max=100"; zero if there is none.
runtime::Duration ParseKeepAliveTimeout(std::string_view keep_alive) {
  for (const absl::string_view part : absl::StrSplit(util::ToAbsl(keep_alive), ',')) {
    const std::pair<absl::string_view, absl::string_view> field =
        absl::StrSplit(absl::StripAsciiWhitespace(part), absl::MaxSplits('=', 1));
    int seconds = 0;
    if (absl::EqualsIgnoreCase(field.first, "timeout") &&
        absl::SimpleAtoi(field.second, &seconds) && seconds > 0) {
      return std::chrono::seconds(seconds);
    }
  }
  return runtime::Duration::zero();
}

}  // namespace

HttpClientConnection::HttpClientConnection(IoEnvironment* environment, uint64_t id,
                                           std::string endpoint, HttpConnectionPool* pool)
    : environment_(environment),
      id_(id),
      endpoint_(std::move(endpoint)),
      pool_(pool),
      stream_(std::make_shared<TcpStream>(environment, TcpSocket(*environment->io_context),
                                          endpoint_, this)) {}

HttpClientConnection::~HttpClientConnection() { stream_->Close(); }

void HttpClientConnection::Begin(uint64_t call, const TcpEndpoint& address,
                                 const http::Request& request, const http::CallOptions& options,
                                 http::CallObserver observer) {
  running_call_ = call;
  options_ = options;
  observer_ = std::make_shared<const http::CallObserver>(std::move(observer));
  written_at_start_ = stream_->written_bytes();
  head_request_ = request.method == "HEAD";
  head_delivered_ = false;
  skipping_ = false;
  paused_ = false;
  StartParser();
  Send(request);
  if (++calls_begun_ == 1) {
    phase_ = Phase::kConnecting;
    stream_->SetDeadlineAfter(options_.connect_timeout);
    stream_->Connect(address);
    return;
  }
  OnConnected();
}

void HttpClientConnection::Send(const http::Request& request) {
  std::string head;
  head.reserve(512 + request.target.size());
  AppendRequestHead(request, endpoint_, &head);
  if (request.body.size() <= kMaxInlineBodyBytes) {
    head.append(request.body);
    stream_->Queue(std::move(head));
  } else {
    stream_->Queue(std::move(head));
    stream_->Queue(request.body);
  }
}

void HttpClientConnection::StartParser() {
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(kMaxHeaderBytes);
  parser_->body_limit(options_.max_body_bytes);
  if (head_request_) parser_->skip(true);
}

void HttpClientConnection::OnConnected() {
  AwaitHead();
  stream_->Flush();
  stream_->ResumeReading();
}

void HttpClientConnection::AwaitHead() {
  phase_ = Phase::kAwaitingHead;
  const runtime::MonotonicTime now = BootNow();
  const bool has_deadline = options_.head_timeout > runtime::Duration::zero();
  head_deadline_ = has_deadline ? now + options_.head_timeout : runtime::MonotonicTime::max();
  stream_->SetDeadline(std::min(head_deadline_, now + kDeliveryTimeout));
}

void HttpClientConnection::CheckDelivery() {
  if (NoByteAcknowledged()) {
    return Fail(absl::UnavailableError("the server acknowledges no byte of the request"));
  }
  if (head_deadline_ == runtime::MonotonicTime::max()) return stream_->ClearDeadline();
  stream_->SetDeadline(head_deadline_);
}

bool HttpClientConnection::NoByteAcknowledged() {
  const uint64_t written = stream_->written_bytes() - written_at_start_;
  if (written == 0) return stream_->queued_bytes() > 0;
  const std::optional<size_t> unacknowledged = stream_->UnacknowledgedBytes();
  return unacknowledged.has_value() && *unacknowledged > 0 && *unacknowledged >= written;
}

void HttpClientConnection::Cancel() {
  phase_ = Phase::kEnded;
  running_call_ = 0;
  observer_.reset();
  stream_->Reset();
}

void HttpClientConnection::FailUnsent(uint64_t call, absl::Status status,
                                      http::CallObserver observer) {
  running_call_ = call;
  observer_ = std::make_shared<const http::CallObserver>(std::move(observer));
  phase_ = Phase::kConnecting;
  boost::asio::post(*environment_->io_context,
                    [self = shared_from_this(), status = std::move(status)] {
                      if (self->phase_ != Phase::kEnded) self->Fail(status);
                    });
}

void HttpClientConnection::StopReading() {
  paused_ = true;
  stream_->StopReading();
  if (phase_ == Phase::kReadingBody) stream_->ClearDeadline();
}

void HttpClientConnection::ResumeReading() {
  if (!paused_) return;
  paused_ = false;
  if (phase_ != Phase::kAwaitingHead && phase_ != Phase::kReadingBody) return;
  if (phase_ == Phase::kReadingBody && options_.body_idle_timeout > runtime::Duration::zero()) {
    stream_->SetDeadlineAfter(options_.body_idle_timeout);
  }
  stream_->ResumeReading();
}

bool HttpClientConnection::SkipResponse() {
  if (!head_delivered_ || !parser_->keep_alive() || parser_->need_eof()) return false;
  skipping_ = true;
  pool_->OnSurplusBytes();
  return true;
}

void HttpClientConnection::AwaitNextHead() {
  skipping_ = false;
  head_delivered_ = false;
  StartParser();
  phase_ = Phase::kAwaitingHead;
  stream_->SetDeadline(std::min(head_deadline_, BootNow() + kDeliveryTimeout));
}

void HttpClientConnection::OnBytes(std::string_view bytes) {
  const auto self = shared_from_this();
  if (phase_ == Phase::kIdle) {
    pool_->OnSurplusBytes();
    pool_->OnConnectionClosed(this);
    stream_->Close();
    return;
  }
  if (unparsed_.empty()) {
    Parse(bytes);
  } else {
    unparsed_.append(bytes);
    const std::string joined = std::exchange(unparsed_, {});
    Parse(joined);
  }
}

void HttpClientConnection::Parse(std::string_view bytes) {
  while (true) {
    boost::beast::error_code error;
    bytes.remove_prefix(FeedParser(&*parser_, bytes, &error));
    if (parser_->is_header_done() && !head_delivered_) {
      if (IsInformational(parser_->status) && parser_->is_done()) {
        StartParser();
        if (bytes.empty()) return;
        continue;
      }
      if (!DeliverHead()) return;
    }
    if (skipping_) parser_->body.clear();
    if (!parser_->body.empty()) {
      const auto observer = observer_;
      observer->on_chunk(std::exchange(parser_->body, {}));
      if (phase_ != Phase::kReadingBody) return;
    }
    if (error) return Fail(absl::DataLossError(absl::StrCat("answer: ", error.message())));
    if (!skipping_ || !parser_->is_done()) break;
    AwaitNextHead();
    if (bytes.empty()) return;
  }
  if (parser_->is_done()) {
    if (!bytes.empty()) {
      pool_->OnSurplusBytes();
      options_.fresh_connection = true;  // more than one response: not reusable
    }
    return Finish();
  }
  if (bytes.size() > kMaxUnparsedBytes) return Fail(absl::DataLossError("answer: line too long"));
  unparsed_.assign(bytes);
  if (phase_ == Phase::kReadingBody && !paused_ && !skipping_ &&
      options_.body_idle_timeout > runtime::Duration::zero()) {
    stream_->SetDeadlineAfter(options_.body_idle_timeout);
  }
}

// Returns false if the observer ended the call.
bool HttpClientConnection::DeliverHead() {
  head_delivered_ = true;
  phase_ = Phase::kReadingBody;
  stream_->ClearDeadline();
  http::Response head;
  head.status = parser_->status;
  head.headers = std::move(parser_->headers);
  keep_alive_timeout_ = ParseKeepAliveTimeout(head.headers.Get("Keep-Alive"));
  const auto observer = observer_;
  observer->on_head(head);
  if (skipping_ && head_deadline_ != runtime::MonotonicTime::max()) {
    stream_->SetDeadline(head_deadline_);
  }
  return phase_ == Phase::kReadingBody;
}

void HttpClientConnection::Finish() {
  phase_ = Phase::kIdle;
  running_call_ = 0;
  stream_->ClearDeadline();
  const auto observer = std::exchange(observer_, nullptr);
  const bool reusable =
      parser_->keep_alive() && !options_.fresh_connection && stream_->queued_bytes() == 0;
  stream_->ResumeReading();  // detects that the server closes an idle connection
  if (!reusable || !pool_->ReturnToPool(shared_from_this())) {
    phase_ = Phase::kEnded;
    stream_->Close();
  }
  observer->on_end();
}

void HttpClientConnection::Fail(absl::Status status) {
  http::CallError error{std::move(status), Progress()};
  phase_ = Phase::kEnded;
  running_call_ = 0;
  stream_->Reset();
  const auto observer = std::exchange(observer_, nullptr);
  observer->on_error(std::move(error));
}

http::CallProgress HttpClientConnection::Progress() const {
  if (head_delivered_ && !skipping_) return http::CallProgress::kHeadReceived;
  return stream_->written_bytes() > written_at_start_ ? http::CallProgress::kSent
                                                      : http::CallProgress::kNotSent;
}

void HttpClientConnection::OnReadEnd() {
  const auto self = shared_from_this();
  if (phase_ == Phase::kIdle) {
    pool_->OnConnectionClosed(this);
    stream_->Close();
  } else if (head_delivered_) {
    if (!FinishCloseDelimited()) Fail(absl::DataLossError("answer ended early"));
  } else {
    Fail(absl::UnavailableError("connection closed before the answer"));
  }
}

// RFC 9112, 6.3: without a length or chunks, the response ends where the server closes its side. A
// reset does not complete a response (see OnBroken).
bool HttpClientConnection::FinishCloseDelimited() {
  if (!options_.accept_close_delimited || !parser_->need_eof() || !unparsed_.empty()) return false;
  boost::beast::error_code error;
  parser_->put_eof(error);
  if (error || !parser_->is_done()) return false;
  options_.fresh_connection = true;  // nothing more can be sent on it
  Finish();
  return true;
}

void HttpClientConnection::OnBroken(absl::Status status) {
  const auto self = shared_from_this();
  if (phase_ == Phase::kIdle) {
    pool_->OnConnectionClosed(this);
    stream_->Close();
  } else if (head_delivered_) {
    Fail(absl::DataLossError(status.message()));
  } else {
    Fail(std::move(status));
  }
}

void HttpClientConnection::OnDeadline() {
  const auto self = shared_from_this();
  switch (phase_) {
    case Phase::kIdle:
      pool_->OnConnectionClosed(this);
      stream_->Close();
      return;
    case Phase::kConnecting:
      return Fail(absl::DeadlineExceededError("connect timeout"));
    case Phase::kAwaitingHead:
      if (BootNow() < head_deadline_) return CheckDelivery();
      return Fail(absl::DeadlineExceededError("no answer in time"));
    case Phase::kReadingBody:
      return Fail(absl::DeadlineExceededError("answer fell silent"));
    case Phase::kEnded:
      return;
  }
}

}  // namespace posthatch::net
