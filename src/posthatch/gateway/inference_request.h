#pragma once

#include <memory>
#include <string>
#include <vector>

#include "posthatch/gateway/inference_body.h"
#include "posthatch/gateway/retryable_request.h"
#include "posthatch/gateway/stream_relay.h"

namespace posthatch::gateway {

// A request for a completion or chat completion, streamed or not. It is routed by prefix, and its
// response comes from a single run.
class InferenceRequest : public RetryableRequest {
 public:
  InferenceRequest(GatewayContext* context, CallerRequest call, InferenceBody body);

 private:
  RouteDecision Plan(const std::vector<std::string>& attempted_backends,
                     AttemptPlan* plan) override;
  absl::Status CheckResponse(const http::Response& response) override;
  void OnValidResponse(const http::Response& response) override;
  bool ResponseStarted() const override { return relay_ != nullptr && relay_->response_started(); }
  void AbortStream(const ApiError& error) override;
  void OnStreamHead(const http::Response& head) override;
  void OnStreamChunk(std::string chunk) override;
  void OnStreamEnd() override;
  void OnAttemptFailed(AttemptFailure failure) override;

  // Computes seed, salt and block hashes from the fleet state in force.
  void ComputePromptIdentity();
  void AddRouteHeaders(const RouteDecision& decision, http::Headers* headers) const;
  // Records the blocks of the prompt, which the worker has prefilled, in the index.
  void RecordPrefixCached(const http::Headers& head);
  void OnFirstChunk();
  // Updates estimates of queueing, prefill and link speed from the time to the first chunk.
  void MeasureFirstChunk();
  void ApplyBackpressure();
  void OnStreamBroken(const absl::Status& status);

  const InferenceBody body_;
  size_t block_bytes_ = 0;
  index::BlockSeed seed_;
  std::string salt_;
  std::vector<index::BlockHash> chain_;
  RouteDecision decision_;
  http::Headers stream_headers_;
  std::unique_ptr<StreamRelay> relay_;
  bool reading_stopped_ = false;
  runtime::Timer stall_timer_;
};

}  // namespace posthatch::gateway
