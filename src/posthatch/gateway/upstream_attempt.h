#pragma once

#include <memory>
#include <string>

#include "posthatch/gateway/backend_directory.h"
#include "posthatch/http/http.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::gateway {

// Why an attempt gave no usable response.
struct AttemptFailure {
  enum class Cause {
    kNotSent,          // no byte was sent
    kTruncated,        // the connection broke, or the body is incomplete
    kTimeout,          // no response in time
    kWrongAttempt,     // the response is for another attempt
    kInvalidResponse,  // the response violates docs/BACKENDS.md
    kRejected,         // rejected before running
  };
  Cause cause = Cause::kNotSent;
  std::string message;
  int status = 0;  // HTTP status of a rejection

  // Whether it is proven that this attempt has not run and will not run.
  bool GuaranteesNotExecuted() const {
    return cause == Cause::kNotSent || cause == Cause::kRejected;
  }
  // Label value in metrics.
  const char* name() const;
};

// Receives the events of an attempt: OnResponseComplete, or OnStreamHead, OnStreamChunk
// (repeatedly) and OnStreamEnd, or at any point OnAttemptFailed. No event follows the last one.
class AttemptListener {
 public:
  virtual ~AttemptListener() = default;
  virtual void OnStreamHead(const http::Response& head) = 0;
  virtual void OnStreamChunk(std::string chunk) = 0;
  virtual void OnStreamEnd() = 0;
  virtual void OnResponseComplete(http::Response response) = 0;
  virtual void OnAttemptFailed(AttemptFailure failure) = 0;
};

struct AttemptPlan {
  BackendPointer backend;
  http::Request request;        // without the header fields of the attempt
  std::string nonce;            // identifies the attempt; the response must echo it
  uint64_t pending_blocks = 0;  // prompt blocks that the worker has to prefill
  bool stream = false;          // forward the body as it arrives if the status is 200
  http::CallOptions call_options;
};

// A dispatch of a request to a back end. Accepts only a response that echoes this attempt's nonce.
// Updates the back end's load and health. Destroying it cancels the call. Event loop thread only.
class UpstreamAttempt {
 public:
  // The listener outlives the attempt.
  UpstreamAttempt(runtime::Runtime* runtime, BackendDirectory* directory, AttemptListener* listener,
                  AttemptPlan plan);
  ~UpstreamAttempt();
  UpstreamAttempt(const UpstreamAttempt&) = delete;
  UpstreamAttempt& operator=(const UpstreamAttempt&) = delete;

  void Start();
  void StopReading();
  void ResumeReading();
  BackendEntry* backend() const { return plan_.backend.get(); }
  runtime::MonotonicTime started() const { return started_; }
  // Ends the attempt as failed, for example at the request's deadline.
  void Fail(AttemptFailure failure);

 private:
  void OnResponseHead(const http::Response& head);
  void OnChunk(std::string chunk);
  void OnEnd();
  void OnError(const http::CallError& error);
  // Called once the head was received or is no longer awaited.
  void CompleteHead();
  void CompleteAttempt();

  runtime::Runtime* const runtime_;
  BackendDirectory* const directory_;
  AttemptListener* const listener_;
  AttemptPlan plan_;
  std::unique_ptr<http::Call> call_;
  http::Response response_;
  runtime::MonotonicTime started_;
  bool streaming_ = false;
  bool head_completed_ = true;  // set to false by Start
  bool ended_ = true;
};

}  // namespace posthatch::gateway
