#pragma once

#include <memory>
#include <string>

#include "posthatch/http/http.h"
#include "posthatch/runtime/timer_service.h"
#include "posthatch/simulation/http_connection.h"

namespace posthatch::simulation {

class SimHttpClient;

// One call in progress: connection, timeouts, and the order of the observer's callbacks. Shared by
// the caller's handle and the connection.
class SimCall : public HttpConnection::ClientEnd, public std::enable_shared_from_this<SimCall> {
 public:
  SimCall(SimHttpClient* client, std::string endpoint, http::Request request,
          http::CallOptions options, http::CallObserver observer);

  void Begin();
  void Cancel();
  void StopReading();
  void ResumeReading();
  bool SkipResponse();
  http::ConnectionUse connection_use() const { return use_; }

  void OnConnected() override;
  void OnHead(const http::Response& head) override;
  void OnChunk(std::string chunk) override;
  void OnEnd() override;
  void OnClosed() override;

 private:
  void SendRequest();
  // The status line must come before head_deadline_.
  void AwaitHead();
  void StartBodyIdleTimer(runtime::Duration delay);
  void CheckBodyIdle();
  void Fail(absl::Status status);
  // Called after each callback: frees the observer if the callback ended the call.
  void ReleaseObserver();
  // Ends the call; `reuse_connection` returns the connection to the pool.
  void Finish(bool reuse_connection);

  SimHttpClient* const client_;
  const std::string endpoint_;
  http::Request request_;
  const http::CallOptions options_;
  http::CallObserver observer_;
  std::shared_ptr<HttpConnection> connection_;
  http::ConnectionUse use_;
  // Limits the wait for the connection, then for the status line, then for each chunk of the body.
  runtime::Timer timer_;
  runtime::MonotonicTime head_deadline_{};
  runtime::MonotonicTime last_chunk_at_{};
  http::CallProgress progress_ = http::CallProgress::kNotSent;
  size_t body_bytes_ = 0;
  int running_callbacks_ = 0;
  bool paused_ = false;
  bool skipping_ = false;  // the response in progress belongs to another call
  bool done_ = false;
};

}  // namespace posthatch::simulation
