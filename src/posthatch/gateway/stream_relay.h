#pragma once

#include <memory>
#include <string>

#include "absl/status/status.h"
#include "posthatch/gateway/api_error.h"
#include "posthatch/gateway/sse_stream_checker.h"
#include "posthatch/http/http.h"

namespace posthatch::gateway {

// Forwards the validated events of one worker's stream to the caller. The response head is sent
// with the first complete event: until then the request may be retried elsewhere. Event loop thread
// only.
class StreamRelay {
 public:
  StreamRelay(std::shared_ptr<http::ResponseWriter> writer, std::string request_id,
              size_t max_buffered_bytes)
      : writer_(std::move(writer)),
        request_id_(request_id),
        checker_(std::move(request_id)),
        max_buffered_bytes_(max_buffered_bytes) {}

  // Takes bytes from the worker; DataLoss if they don't continue one valid stream.
  absl::Status Feed(std::string chunk);
  // Called when the worker's body has ended. OK if it was complete; the caller's stream is finished
  // then.
  absl::Status Finish();
  // Ends the caller's stream with an error event, without completing it.
  void AbortWithError(const ApiError& error);

  bool response_started() const { return response_started_; }
  // Whether more than `max_buffered_bytes` are buffered for the caller, so that reading from the
  // worker should stop.
  bool Full() const { return response_started_ && writer_->buffered_bytes() > max_buffered_bytes_; }

 private:
  void StartResponse();

  const std::shared_ptr<http::ResponseWriter> writer_;
  const std::string request_id_;
  SseStreamChecker checker_;
  const size_t max_buffered_bytes_;
  bool response_started_ = false;
};

}  // namespace posthatch::gateway
