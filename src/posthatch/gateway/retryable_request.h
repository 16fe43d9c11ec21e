#pragma once

#include <memory>
#include <string>
#include <vector>

#include "posthatch/gateway/gateway_context.h"
#include "posthatch/gateway/request_registry.h"
#include "posthatch/gateway/upstream_attempt.h"

namespace posthatch::gateway {

// A request that may be dispatched again after a failed attempt, as long as its caller has been
// shown nothing, its deadline and number of attempts allow it, and the retry budget does. Every
// dispatch is decided anew by the state in force at that moment. Event loop thread only.
class RetryableRequest : public ActiveRequest, protected AttemptListener {
 public:
  void Begin() override;

 protected:
  RetryableRequest(GatewayContext* context, CallerRequest call);

  // Chooses a back end and fills the plan's request; attempt fields are added by the caller.
  virtual RouteDecision Plan(const std::vector<std::string>& attempted_backends,
                             AttemptPlan* plan) = 0;
  // Whether a whole answer with status 200 is good and belongs to this request.
  virtual absl::Status CheckResponse(const http::Response& response) = 0;
  // A good answer is about to be sent.
  virtual void OnValidResponse(const http::Response& response) = 0;
  // Whether the caller has been shown a part of the answer.
  virtual bool ResponseStarted() const { return false; }
  // Ends an answer of which a part was shown.
  virtual void AbortStream(const ApiError& error);

  void OnStreamHead(const http::Response& head) override;
  void OnStreamChunk(std::string chunk) override;
  void OnStreamEnd() override;
  void OnResponseComplete(http::Response response) override;
  void OnAttemptFailed(AttemptFailure failure) override;

  // A good answer has been sent to its end.
  void Complete();
  GatewayContext* context() const { return context_; }
  CallerRequest& call() { return call_; }
  UpstreamAttempt* attempt() const { return attempt_.get(); }
  runtime::Timer* deadline_timer() { return &deadline_timer_; }
  // Takes the deadline over by the gaps between pieces, once an answer is flowing.
  void ObserveFirstByte();

 private:
  void DispatchAttempt();
  std::optional<ApiError> DispatchError();
  void Dispatch(AttemptPlan plan);
  void OnDeadline();
  void OnCallerDisconnected();
  ApiError FinalError(const AttemptFailure& failure) const;
  // The answer when the retry budget is spent.
  ApiError RetryDeniedError() const;
  void Refuse(ApiError error);
  void End();

  GatewayContext* const context_;
  CallerRequest call_;
  std::shared_ptr<UpstreamAttempt> attempt_;
  std::vector<std::string> attempted_backends_;
  uint32_t attempts_ = 0;
  bool guaranteed_not_executed_ = true;  // by every attempt so far
  bool ended_ = false;
  runtime::Timer deadline_timer_;
};

}  // namespace posthatch::gateway
