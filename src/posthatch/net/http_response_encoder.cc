#include "posthatch/net/http_response_encoder.h"

#include <utility>

namespace posthatch::net {
namespace {

// Bodies up to this size are appended to the head, so that both are sent in one buffer.
constexpr size_t kMaxInlineBodyBytes = 8UL * 1024;
// Reserved for status line and fields; sufficient for most responses.
constexpr size_t kReservedHeadBytes = 512;

bool HasNoBody(int status) { return status == 204 || status == 304; }

}  // namespace

HttpResponseEncoder::HttpResponseEncoder(TcpStream* stream,
                                         const HttpRequestReader::ParsedRequest& request)
    : stream_(stream),
      version_(request.version),
      head_request_(request.request.method == "HEAD"),
      keep_alive_(request.keep_alive) {}

bool HttpResponseEncoder::IsValid(const http::Response& head) {
  return head.status >= 200 && head.status <= 599 && CheckHeaders(head.headers).ok();
}

ResponseFraming HttpResponseEncoder::Framing(const http::Response& response, bool streamed,
                                             bool may_keep_alive) const {
  ResponseFraming framing;
  framing.version = version_;
  framing.keep_alive = keep_alive_ && may_keep_alive;
  if (HasNoBody(response.status)) {
    framing.body = BodyFraming::kNone;
  } else if (streamed) {
    framing.body = version_ == 11 ? BodyFraming::kChunked : BodyFraming::kUntilClose;
    if (version_ == 10) framing.keep_alive = false;
  }
  return framing;
}

void HttpResponseEncoder::SendComplete(http::Response response, bool may_keep_alive) {
  if (!IsValid(response)) response = {.status = 500, .headers = {}, .body = {}};
  const ResponseFraming framing = Framing(response, /*streamed=*/false, may_keep_alive);
  keep_alive_ = framing.keep_alive;
  status_ = response.status;
  std::string head;
  head.reserve(kReservedHeadBytes);
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
}

void HttpResponseEncoder::StartStream(const http::Response& head, bool may_keep_alive) {
  streaming_ = true;
  const ResponseFraming framing = Framing(head, /*streamed=*/true, may_keep_alive);
  keep_alive_ = framing.keep_alive;
  chunked_ = framing.body == BodyFraming::kChunked;
  status_ = head.status;
  std::string text;
  text.reserve(kReservedHeadBytes);
  AppendResponseHead(head, framing, &text);
  stream_->Queue(std::move(text));
  stream_->FlushSoon();
}

bool HttpResponseEncoder::WriteChunk(std::string chunk) {
  // An empty chunk would end the body.
  if (chunk.empty() || head_request_ || HasNoBody(status_)) return false;
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
  return true;
}

void HttpResponseEncoder::FinishStream() {
  if (chunked_ && !head_request_) {
    std::string last;
    AppendLastChunk(&last);
    stream_->QueueCopy(last);
  }
  stream_->Flush();
}

}  // namespace posthatch::net
