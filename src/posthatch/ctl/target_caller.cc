#include "posthatch/ctl/target_caller.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace posthatch::ctl {
namespace {

constexpr int kStatusUnavailable = 503;
// Error code of a 503 response if the change may have been applied; with any other code it was not.
constexpr const char* kUncertainCode = "\"uncertain\"";
constexpr runtime::Duration kRetryBackoff = std::chrono::milliseconds(300);
// Time-out of an attempt at one target: a change may wait for a session lease and an election.
constexpr runtime::Duration kAttemptTimeout = std::chrono::seconds(10);

}  // namespace

TargetCaller::TargetCaller(runtime::Runtime* runtime, std::vector<std::string> targets,
                           runtime::Duration timeout)
    : runtime_(runtime), targets_(std::move(targets)), timeout_(timeout), timer_(runtime->timers) {}

void TargetCaller::Call(http::Request request, Done done) {
  request_ = std::move(request);
  done_ = std::move(done);
  outcome_ = {};
  attempts_ = 0;
  deadline_ = runtime_->clock->Now() + timeout_;
  timer_.Start(runtime::Duration::zero(), [this] { StartAttempt(); });
}

void TargetCaller::StartAttempt() {
  const runtime::Duration remaining = deadline_ - runtime_->clock->Now();
  if (remaining <= runtime::Duration::zero()) {
    call_.reset();
    Finish();
    return;
  }
  const std::string& target = targets_[attempts_++ % targets_.size()];
  outcome_.response = {};
  http::CallOptions options;
  options.head_timeout = std::min(kAttemptTimeout, remaining);
  options.body_idle_timeout = options.head_timeout;
  http::CallObserver observer;
  observer.on_head = [this](const http::Response& head) { outcome_.response = head; };
  observer.on_chunk = [this](const std::string& chunk) { outcome_.response.body += chunk; };
  observer.on_end = [this] { OnEnd(); };
  observer.on_error = [this](const http::CallError& error) { OnFailure(error); };
  call_ = runtime_->http_client->Start(target, request_, options, std::move(observer));
}

void TargetCaller::OnEnd() {
  if (outcome_.response.status != kStatusUnavailable) {
    outcome_.has_final_response = true;
    Finish();
    return;
  }
  outcome_.error = outcome_.response.body;
  if (outcome_.error.find(kUncertainCode) != std::string::npos) outcome_.may_be_applied = true;
  ScheduleNextAttempt();
}

void TargetCaller::OnFailure(const http::CallError& error) {
  outcome_.error = absl::StrCat(error.status.message());
  if (error.progress != http::CallProgress::kNotSent) outcome_.may_be_applied = true;
  ScheduleNextAttempt();
}

void TargetCaller::Finish() {
  // `done_` and `outcome_` are moved out before the call, since the callback may start the next
  // request.
  const Done done = std::exchange(done_, nullptr);
  done(std::exchange(outcome_, {}));
}

void TargetCaller::ScheduleNextAttempt() {
  timer_.Start(kRetryBackoff, [this] { StartAttempt(); });
}

}  // namespace posthatch::ctl
