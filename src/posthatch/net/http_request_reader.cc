#include "posthatch/net/http_request_reader.h"

#include <utility>

#include "absl/strings/match.h"
#include "posthatch/util/string_view.h"

namespace posthatch::net {
namespace {

namespace beast_http = boost::beast::http;

// Bytes that a chunk line or a trailer may occupy beyond the header limit.
constexpr size_t kMaxUnparsedExtraBytes = 4096;
// An empty buffer with more capacity than this is freed instead of kept for the next request.
constexpr size_t kMaxRetainedBytes = 64UL * 1024;

}  // namespace

HttpRequestReader::HttpRequestReader(const http::ServerLimits* limits) : limits_(limits) {
  StartParser();
}

void HttpRequestReader::StartParser() {
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(static_cast<uint32_t>(limits_->max_header_bytes));
  parser_->body_limit(limits_->max_body_bytes);
  head_reported_ = false;
}

HttpRequestReader::Progress HttpRequestReader::Parse() {
  boost::beast::error_code error;
  const size_t used = FeedParser(&*parser_, received_, &error);
  received_.erase(0, used);
  if (received_.empty() && received_.capacity() > kMaxRetainedBytes) received_ = {};
  if (error) return RejectMalformed(error);
  if (parser_->is_done()) return Progress::kComplete;
  if (received_.size() > limits_->max_header_bytes + kMaxUnparsedExtraBytes) {
    return Reject(400, "bad_request", "chunk line or trailer too long", ProvenNotExecuted());
  }
  if (!parser_->is_header_done() || std::exchange(head_reported_, true)) {
    return Progress::kIncomplete;
  }
  return Progress::kHeadComplete;
}

HttpRequestReader::ParsedRequest HttpRequestReader::TakeRequest() {
  ParsedRequest parsed;
  parsed.version = parser_->version >= 11 ? 11 : 10;
  parsed.keep_alive = parser_->keep_alive();
  parsed.request.method = std::move(parser_->method);
  parsed.request.target = std::move(parser_->target);
  parsed.request.headers = std::move(parser_->headers);
  parsed.request.body = std::move(parser_->body);
  StartParser();
  return parsed;
}

bool HttpRequestReader::ExpectsContinue() const {
  return absl::EqualsIgnoreCase(util::ToAbsl(parser_->headers.Get("Expect")), "100-continue") &&
         parser_->body.empty();
}

bool HttpRequestReader::ProvenNotExecuted() const {
  return parser_->is_header_done() && !parser_->headers.Has("Idempotency-Key");
}

HttpRequestReader::Progress HttpRequestReader::Reject(int status, std::string_view code,
                                                      std::string message,
                                                      bool proven_not_executed) {
  rejection_ = {status, code, std::move(message), proven_not_executed};
  return Progress::kRejected;
}

HttpRequestReader::Progress HttpRequestReader::RejectMalformed(
    const boost::beast::error_code& error) {
  if (error == beast_http::error::header_limit) {
    // A field that was not parsed may be an idempotency key.
    return Reject(431, "too_large", "header fields over the limit", false);
  }
  if (error == beast_http::error::body_limit) {
    // The parser reports this error with the last field, before it marks the head as complete.
    return Reject(413, "too_large", "body over the limit",
                  !parser_->headers.Has("Idempotency-Key"));
  }
  return Reject(400, "bad_request", "malformed HTTP: " + error.message(), ProvenNotExecuted());
}

}  // namespace posthatch::net
