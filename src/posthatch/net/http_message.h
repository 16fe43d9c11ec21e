#pragma once

#include <boost/beast/http/basic_parser.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "posthatch/http/http.h"

// HTTP/1.1 messages (RFC 9112) read by Beast's incremental parser and written by its serializer,
// to and from plain strings. Private to the HTTP server and client.
namespace posthatch::net {

// Collects one message. Trailer fields are dropped. Body bytes accumulate in `body`, from which a
// streaming reader removes them between calls of put().
template <bool kIsRequest>
class MessageParser : public boost::beast::http::basic_parser<kIsRequest> {
 public:
  http::Headers headers;
  std::string method;  // requests only
  std::string target;  // requests only
  int version = 11;    // 10 or 11
  int status = 0;      // responses only
  std::string body;

 private:
  using Field = boost::beast::http::field;
  using Verb = boost::beast::http::verb;
  using View = boost::beast::string_view;
  using Error = boost::beast::error_code;

  void on_request_impl(Verb, View method_text, View target_text, int version_number,
                       Error&) override {
    version = version_number;
    method.assign(method_text.data(), method_text.size());
    target.assign(target_text.data(), target_text.size());
  }
  void on_response_impl(int code, View, int, Error&) override { status = code; }
  void on_field_impl(Field, View name, View value, Error&) override {
    if (this->is_header_done()) return;
    headers.Add({name.data(), name.size()}, {value.data(), value.size()});
  }
  void on_header_impl(Error&) override {}
  void on_body_init_impl(const boost::optional<uint64_t>&, Error&) override {}
  size_t on_body_impl(View bytes, Error&) override {
    body.append(bytes.data(), bytes.size());
    return bytes.size();
  }
  void on_chunk_header_impl(uint64_t, View, Error&) override {}
  size_t on_chunk_body_impl(uint64_t, View bytes, Error&) override {
    body.append(bytes.data(), bytes.size());
    return bytes.size();
  }
  void on_finish_impl(Error&) override {}
};

using RequestParser = MessageParser<true>;
using ResponseParser = MessageParser<false>;

// Feeds `bytes` until the message is complete, fails, or needs more; returns how many bytes were
// used. `error` stays clear when only more bytes are needed.
template <bool kIsRequest>
size_t FeedParser(MessageParser<kIsRequest>* parser, std::string_view bytes,
                  boost::beast::error_code* error);
extern template size_t FeedParser<true>(MessageParser<true>*, std::string_view,
                                        boost::beast::error_code*);
extern template size_t FeedParser<false>(MessageParser<false>*, std::string_view,
                                         boost::beast::error_code*);

// InvalidArgument if a name is not a token or a value contains control characters (RFC 9110, 5.1
// and 5.5): such a field could split a message.
absl::Status CheckHeaders(const http::Headers& headers);

// Appends request line and fields. Adds Host, and Content-Length where a body is or may be present;
// fields of `request` that frame the message or concern the connection are omitted.
void AppendRequestHead(const http::Request& request, std::string_view host, std::string* out);

enum class BodyFraming { kLength, kChunked, kUntilClose, kNone };

struct ResponseFraming {
  BodyFraming body = BodyFraming::kLength;
  bool keep_alive = true;
  int version = 11;  // 10 or 11
};

// Appends status line and fields of `response`, with its body's length if it is framed by length.
void AppendResponseHead(const http::Response& response, const ResponseFraming& framing,
                        std::string* out);

// Chunked transfer coding (RFC 9112, 7.1): the line before the bytes of a chunk, the line end after
// them, and the last chunk.
void AppendChunkStart(size_t size, std::string* out);
inline constexpr std::string_view kChunkEnd = "\r\n";
void AppendLastChunk(std::string* out);

}  // namespace posthatch::net
