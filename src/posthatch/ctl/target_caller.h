#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "posthatch/http/http.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::ctl {

// Result of TargetCaller::Call.
struct CallOutcome {
  bool has_final_response = false;  // `response` is final: neither 503 nor a failure
  bool may_be_applied = false;      // no final response, and a target may have applied it
  http::Response response;
  std::string error;  // error of the last attempt
};

// Sends one request to the targets in turn, with identical bytes, until one gives a final response
// or the timeout expires. Safe for changes, since they carry a request id. Event loop thread only;
// one request at a time.
class TargetCaller {
 public:
  using Done = std::function<void(CallOutcome)>;

  TargetCaller(runtime::Runtime* runtime, std::vector<std::string> targets,
               runtime::Duration timeout);
  // `done` runs once, not within this call.
  void Call(http::Request request, Done done);

 private:
  void StartAttempt();
  void OnEnd();
  void OnFailure(const http::CallError& error);
  void ScheduleNextAttempt();
  void Finish();

  runtime::Runtime* const runtime_;
  const std::vector<std::string> targets_;
  const runtime::Duration timeout_;
  runtime::Timer timer_;
  http::Request request_;
  Done done_;
  std::unique_ptr<http::Call> call_;
  CallOutcome outcome_;
  runtime::MonotonicTime deadline_;
  size_t attempts_ = 0;
};

}  // namespace posthatch::ctl
