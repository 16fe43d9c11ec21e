#pragma once

#include <memory>
#include <string>
#include <vector>

#include "posthatch/gateway/inference_body.h"
#include "posthatch/gateway/repeatable_request.h"
#include "posthatch/gateway/stream_relay.h"

namespace posthatch::gateway {

// One completion or chat completion, whole or streamed: routed by prefix, answered by one run.
class InferenceRequest : public RepeatableRequest {
 public:
  InferenceRequest(GatewayContext* context, CallerCall call, InferenceBody body);

 private:
  RouteDecision Plan(const std::vector<std::string>& tried, AttemptPlan* plan) override;
  absl::Status CheckAnswer(const http::Response& answer) override;
  void OnGoodAnswer(const http::Response& answer) override;
  bool Shown() const override { return relay_ != nullptr && relay_->shown(); }
  void BreakOff(const ApiError& error) override;
  void OnStreamHead(const http::Response& head) override;
  void OnStreamPiece(std::string piece) override;
  void OnStreamEnd() override;
  void OnAttemptFailed(AttemptFailure failure) override;

  // Computes seed, salt and chain by the state in force now.
  void Identify();
  void AddRouteHeaders(const RouteDecision& decision, http::Headers* headers) const;
  // The worker has prefilled the prompt: the index learns of it.
  void RecordKept(const http::Headers& head);
  void OnFirstPiece();
  // What the time to the first piece says about wait, prefill and links.
  void MeasureFirstPiece();
  void HoldBackWorker();
  void OnStreamBroken(const absl::Status& status);

  const InferenceBody body_;
  size_t block_bytes_ = 0;
  index::BlockSeed seed_;
  std::string salt_;
  std::vector<index::BlockHash> chain_;
  RouteDecision decision_;
  http::Headers stream_headers_;
  std::unique_ptr<StreamRelay> relay_;
  bool paused_ = false;
  runtime::Timer stall_timer_;
};

}  // namespace posthatch::gateway
