#pragma once

#include <memory>
#include <string>
#include <vector>

#include "posthatch/gateway/gateway_context.h"
#include "posthatch/gateway/proxy_attempt.h"
#include "posthatch/gateway/request_registry.h"

namespace posthatch::gateway {

// A request that may be dispatched again after a failed attempt, as long as its caller has been
// shown nothing, its deadline and number of attempts allow it, and the retry budget does. Every
// dispatch is decided anew by the state in force at that moment. Event loop thread only.
class RepeatableRequest : public ActiveRequest, protected AttemptListener {
 public:
  void Begin() override;

 protected:
  RepeatableRequest(GatewayContext* context, CallerCall call);

  // Chooses a back end and fills the plan's request; attempt fields are added by the caller.
  virtual RouteDecision Plan(const std::vector<std::string>& tried, AttemptPlan* plan) = 0;
  // Whether a whole answer with status 200 is good and belongs to this request.
  virtual absl::Status CheckAnswer(const http::Response& answer) = 0;
  // A good answer is about to be sent.
  virtual void OnGoodAnswer(const http::Response& answer) = 0;
  // Whether the caller has been shown a part of the answer.
  virtual bool Shown() const { return false; }
  // Ends an answer of which a part was shown.
  virtual void BreakOff(const ApiError& error);

  void OnStreamHead(const http::Response& head) override;
  void OnStreamPiece(std::string piece) override;
  void OnStreamEnd() override;
  void OnWholeAnswer(http::Response answer) override;
  void OnAttemptFailed(AttemptFailure failure) override;

  // A good answer has been sent to its end.
  void Complete();
  GatewayContext* context() const { return context_; }
  CallerCall& call() { return call_; }
  ProxyAttempt* attempt() const { return attempt_.get(); }
  runtime::Timer* deadline_timer() { return &deadline_timer_; }
  // Takes the deadline over by the gaps between pieces, once an answer is flowing.
  void ObserveFirstByte();

 private:
  void TryDispatch();
  std::optional<ApiError> WhyNotDispatch();
  void Dispatch(AttemptPlan plan);
  void OnDeadline();
  void OnCallerGone();
  ApiError FinalError(const AttemptFailure& failure) const;
  // The answer when the retry budget is spent.
  ApiError RetryDeniedError() const;
  void Refuse(ApiError error);
  void End();

  GatewayContext* const context_;
  CallerCall call_;
  std::shared_ptr<ProxyAttempt> attempt_;
  std::vector<std::string> tried_;
  uint32_t attempts_ = 0;
  bool proved_not_executed_ = true;  // by every attempt so far
  bool ended_ = false;
  runtime::Timer deadline_timer_;
};

}  // namespace posthatch::gateway
