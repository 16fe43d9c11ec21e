#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "posthatch/http/http.h"
#include "posthatch/net/http_message.h"
#include "posthatch/net/http_rejection.h"

namespace posthatch::net {

// Parses the requests of one connection from the bytes received, one after another. Owned by the
// connection, which handles deadlines and responses. Event loop thread only.
class HttpRequestReader {
 public:
  enum class Progress {
    kIncomplete,    // more bytes are needed
    kHeadComplete,  // more bytes are needed; reported once, when the head is complete
    kComplete,      // TakeRequest returns it
    kRejected,      // rejection() has the reason; no further request can be read
  };

  struct ParsedRequest {
    http::Request request;
    int version = 11;  // 10 or 11
    bool keep_alive = true;
  };

  // `limits` outlives the reader.
  explicit HttpRequestReader(const http::ServerLimits* limits);

  void Append(std::string_view bytes) { received_.append(bytes); }
  // Number of bytes appended and not parsed yet, for example of pipelined requests.
  size_t unparsed_bytes() const { return received_.size(); }
  void DropUnparsed() { received_.clear(); }

  // Parses what was appended, up to the end of one request.
  Progress Parse();
  // The request that Parse completed; the reader then waits for the next one.
  ParsedRequest TakeRequest();
  const HttpRejection& rejection() const { return rejection_; }

  // Whether the caller waits for "100 Continue" before it sends the body (RFC 9110, 10.1.1).
  bool ExpectsContinue() const;
  // Whether the request being read is known not to have been executed: its head is complete and has
  // no idempotency key under which an earlier attempt may have been executed.
  bool ProvenNotExecuted() const;

 private:
  void StartParser();
  Progress Reject(int status, std::string_view code, std::string message, bool proven_not_executed);
  Progress RejectMalformed(const boost::beast::error_code& error);

  const http::ServerLimits* const limits_;
  std::string received_;  // not yet parsed
  std::optional<RequestParser> parser_;
  bool head_reported_ = false;
  HttpRejection rejection_;
};

}  // namespace posthatch::net
