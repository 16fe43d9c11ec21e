#pragma once

#include <string>

#include "posthatch/http/http.h"
#include "posthatch/net/http_message.h"
#include "posthatch/net/http_request_reader.h"
#include "posthatch/net/tcp_stream.h"

namespace posthatch::net {

// Writes the response to one request to its connection's stream, framed as the request allows:
// SendComplete, or StartStream, WriteChunk and FinishStream. Owned by the connection, one for each
// request. Event loop thread only.
class HttpResponseEncoder {
 public:
  // `stream` outlives the encoder.
  HttpResponseEncoder(TcpStream* stream, const HttpRequestReader::ParsedRequest& request);

  // Whether the status and fields may be sent: an invalid field could split the message.
  static bool IsValid(const http::Response& head);

  // Sends the complete response, or status 500 if it is not valid. If `may_keep_alive` is false,
  // the response announces that the connection closes after it.
  void SendComplete(http::Response response, bool may_keep_alive);
  // Sends the head, which must be valid; the body follows.
  void StartStream(const http::Response& head, bool may_keep_alive);
  // Returns whether anything was queued: a response without a body drops its chunks.
  bool WriteChunk(std::string chunk);
  void FinishStream();

  bool streaming() const { return streaming_; }
  // Whether the body is chunked, so that a missing last chunk shows a truncated stream.
  bool chunked() const { return chunked_; }
  // Status and persistence of the response that was sent or started.
  int status() const { return status_; }
  bool keep_alive() const { return keep_alive_; }

 private:
  ResponseFraming Framing(const http::Response& response, bool streamed, bool may_keep_alive) const;

  TcpStream* const stream_;
  const int version_;  // 10 or 11
  const bool head_request_;
  bool keep_alive_;
  bool streaming_ = false;
  bool chunked_ = false;
  int status_ = 0;
};

}  // namespace posthatch::net
