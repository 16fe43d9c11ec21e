#include "posthatch/net/http_message.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "posthatch/util/string_view.h"

namespace posthatch::net {
namespace {

namespace beast_http = boost::beast::http;

constexpr size_t kMaxFieldBytes = 32UL * 1024;

bool IsTokenCharacter(char character) {
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  return absl::ascii_isalnum(static_cast<unsigned char>(character)) ||
         kSymbols.find(character) != std::string_view::npos;
}

bool IsValueCharacter(char character) {
  const auto byte = static_cast<unsigned char>(character);
  return byte == '\t' || (byte >= 0x20 && byte != 0x7f);
}

bool IsConnectionField(std::string_view name) {
  constexpr std::array<std::string_view, 5> kNames = {"Connection", "Content-Length", "Keep-Alive",
                                                      "Transfer-Encoding", "Upgrade"};
  return std::any_of(kNames.begin(), kNames.end(), [name](std::string_view candidate) {
    return absl::EqualsIgnoreCase(util::ToAbsl(name), util::ToAbsl(candidate));
  });
}

template <typename Buffers>
void AppendBuffers(const Buffers& buffers, std::string* out) {
  for (const boost::asio::const_buffer buffer : boost::beast::buffers_range_ref(buffers)) {
    out->append(static_cast<const char*>(buffer.data()), buffer.size());
  }
}

void CopyFields(const http::Headers& headers, beast_http::fields* fields) {
  for (const auto& [name, value] : headers.fields()) {
    if (!IsConnectionField(name)) fields->insert(name, value);
  }
}

}  // namespace

template <bool kIsRequest>
size_t FeedParser(MessageParser<kIsRequest>* parser, std::string_view bytes,
                  boost::beast::error_code* error) {
  size_t used = 0;
  while (used < bytes.size() && !parser->is_done()) {
    const size_t step =
        parser->put(boost::asio::const_buffer(bytes.data() + used, bytes.size() - used), *error);
    used += step;
    if (*error == beast_http::error::need_more) {
      *error = {};
      if (step == 0) break;
    }
    if (*error) break;
  }
  return used;
}

template size_t FeedParser<true>(MessageParser<true>*, std::string_view, boost::beast::error_code*);
template size_t FeedParser<false>(MessageParser<false>*, std::string_view,
                                  boost::beast::error_code*);

absl::Status CheckHeaders(const http::Headers& headers) {
  for (const auto& [name, value] : headers.fields()) {
    const bool valid = !name.empty() && std::all_of(name.begin(), name.end(), IsTokenCharacter) &&
                       std::all_of(value.begin(), value.end(), IsValueCharacter) &&
                       name.size() + value.size() <= kMaxFieldBytes;
    if (!valid) return absl::InvalidArgumentError(absl::StrCat("malformed header field ", name));
  }
  return absl::OkStatus();
}

void AppendRequestHead(const http::Request& request, std::string_view host, std::string* out) {
  beast_http::request<beast_http::empty_body> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  if (!request.headers.Has("Host")) message.insert(beast_http::field::host, host);
  CopyFields(request.headers, &message);
  const bool bodiless = request.method == "GET" || request.method == "HEAD";
  if (!request.body.empty() || !bodiless) {
    message.insert(beast_http::field::content_length, std::to_string(request.body.size()));
  }
  const beast_http::fields::writer writer(message, message.version(), message.method());
  AppendBuffers(writer.get(), out);
}

void AppendResponseHead(const http::Response& response, const ResponseFraming& framing,
                        std::string* out) {
  beast_http::response<beast_http::empty_body> message;
  message.version(framing.version);
  message.result(static_cast<unsigned>(response.status));
  CopyFields(response.headers, &message);
  if (framing.body == BodyFraming::kLength) {
    message.insert(beast_http::field::content_length, std::to_string(response.body.size()));
  } else if (framing.body == BodyFraming::kChunked) {
    message.insert(beast_http::field::transfer_encoding, "chunked");
  }
  if (!framing.keep_alive) {
    message.insert(beast_http::field::connection, "close");
  } else if (framing.version == 10) {
    message.insert(beast_http::field::connection, "keep-alive");
  }
  const beast_http::fields::writer writer(message, message.version(), message.result_int());
  AppendBuffers(writer.get(), out);
}

void AppendChunkStart(size_t size, std::string* out) {
  AppendBuffers(beast_http::chunk_header(size), out);
}

void AppendLastChunk(std::string* out) { AppendBuffers(beast_http::chunk_last<>(), out); }

}  // namespace posthatch::net
