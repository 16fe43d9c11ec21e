#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "posthatch/http/http.h"
#include "posthatch/runtime/timer_service.h"
#include "posthatch/simulation/http_connection.h"

namespace posthatch::simulation {

class SimHttpServer;

// The server's side of one connection: one request at a time, each with a response writer. Owned by
// the server; writers refer to it weakly.
class SimServerConnection : public HttpConnection::ServerEnd,
                            public std::enable_shared_from_this<SimServerConnection> {
 public:
  SimServerConnection(SimHttpServer* server, std::shared_ptr<HttpConnection> connection);

  void OnRequest(http::Request request) override;
  void OnClosed() override;

  // The process accepts the connection, which the kernel has established.
  void OnAccepted();

  // Calls of the response writer of `exchange`; ignored unless that exchange is in progress.
  void SendResponse(uint64_t exchange, http::Response response);
  void StartStream(uint64_t exchange, http::Response head);
  void WriteChunk(uint64_t exchange, std::string chunk);
  void FinishStream(uint64_t exchange);
  void Abort(uint64_t exchange);
  size_t buffered_bytes(uint64_t exchange) const;
  void OnWritable(uint64_t exchange, std::function<void()> callback);
  void OnCallerDisconnected(uint64_t exchange, std::function<void()> callback);

  // Closes now if idle, otherwise after the response in progress.
  void CloseWhenIdle();
  void Close();

  // Whether `exchange` is in progress.
  bool Running(uint64_t exchange) const { return exchange == running_exchange_ && !closed_; }

 private:
  // Draws whether copies of `response` follow it, and when.
  void DrawCopies(const http::Response& response, runtime::Duration since_response);
  void SendCopy(const http::Response& response);
  void EndExchange();
  void RejectRequest(int status);

  SimHttpServer* const server_;  // outlives this object's use: Shutdown closes all connections
  const std::shared_ptr<HttpConnection> connection_;
  // Of the next request, see http::Request; the epoch until the process has accepted the
  // connection.
  runtime::MonotonicTime sent_after_{};
  runtime::Timer idle_timer_;
  uint64_t last_exchange_ = 0;
  uint64_t running_exchange_ = 0;  // the exchange in progress; 0: none
  bool stream_started_ = false;
  bool closed_ = false;
  bool close_requested_ = false;
  std::function<void()> on_caller_disconnected_;
};

}  // namespace posthatch::simulation
