#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "posthatch/http/http.h"

namespace posthatch::net {

class HttpServerConnection;

// Sends the response to one request on behalf of a handler. Owns the connection; calls after the
// end of the exchange are ignored. The destructor aborts an incomplete response. Event loop thread
// only.
class HttpResponseWriter : public http::ResponseWriter {
 public:
  HttpResponseWriter(std::shared_ptr<HttpServerConnection> connection, uint64_t exchange);
  ~HttpResponseWriter() override;

  void SendResponse(http::Response response) override;
  void StartStream(http::Response head) override;
  void WriteChunk(std::string chunk) override;
  void FinishStream() override;
  void Abort() override;
  size_t buffered_bytes() const override;
  void OnWritable(std::function<void()> callback) override;
  void OnCallerDisconnected(std::function<void()> callback) override;

 private:
  const std::shared_ptr<HttpServerConnection> connection_;
  const uint64_t exchange_;
};

}  // namespace posthatch::net
