#pragma once

#include <memory>
#include <string>
#include <vector>

#include "posthatch/gateway/gateway_context.h"
#include "posthatch/gateway/request_registry.h"
#include "posthatch/gateway/upstream_attempt.h"

namespace posthatch::gateway {

// An idempotent request, dispatched again after a failed attempt while no part of a response has
// been sent to its caller and the deadline, the maximum attempts and the retry budget allow it.
// Each dispatch is decided by the fleet state in force at that time. Event loop thread only.
class RetryableRequest : public ActiveRequest, protected AttemptListener {
 public:
  void Begin() override;

 protected:
  RetryableRequest(GatewayContext* context, CallerRequest call);

  // Chooses a back end and fills the plan's request; Dispatch adds the nonce and the header
  // fields of the attempt.
  virtual RouteDecision Plan(const std::vector<std::string>& attempted_backends,
                             AttemptPlan* plan) = 0;
  // Whether a complete response with status 200 is valid and for this request.
  virtual absl::Status CheckResponse(const http::Response& response) = 0;
  // Called before a valid response is sent.
  virtual void OnValidResponse(const http::Response& response) = 0;
  // Whether a part of the response has been sent to the caller.
  virtual bool ResponseStarted() const { return false; }
  // Ends a response that was sent partially.
  virtual void AbortStream(const ApiError& error);

  void OnStreamHead(const http::Response& head) override;
  void OnStreamChunk(std::string chunk) override;
  void OnStreamEnd() override;
  void OnResponseComplete(http::Response response) override;
  void OnAttemptFailed(AttemptFailure failure) override;

  // Called when a valid response was sent completely.
  void Complete();
  GatewayContext* context() const { return context_; }
  CallerRequest& call() { return call_; }
  UpstreamAttempt* attempt() const { return attempt_.get(); }
  runtime::Timer* deadline_timer() { return &deadline_timer_; }
  // Records the time to the first byte in the metrics.
  void ObserveFirstByte();

 private:
  void DispatchAttempt();
  std::optional<ApiError> DispatchError();
  void Dispatch(AttemptPlan plan);
  void OnDeadline();
  void OnCallerDisconnected();
  ApiError FinalError(const AttemptFailure& failure) const;
  // The error when the retry budget is exhausted.
  ApiError RetryDeniedError() const;
  void Reject(ApiError error);
  void End();

  GatewayContext* const context_;
  CallerRequest call_;
  std::shared_ptr<UpstreamAttempt> attempt_;
  std::vector<std::string> attempted_backends_;
  uint32_t attempts_ = 0;
  bool guaranteed_not_executed_ = true;  // true for all attempts so far
  bool ended_ = false;
  runtime::Timer deadline_timer_;
};

}  // namespace posthatch::gateway
