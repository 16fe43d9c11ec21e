#include "posthatch/gateway/inference_request.h"

#include <algorithm>
#include <utility>

#include "posthatch/gateway/header_names.h"
#include "posthatch/gateway/response_check.h"
#include "posthatch/gateway/response_fields.h"

namespace posthatch::gateway {
namespace {

// How long reading from the worker may be stopped by a slow caller before the stream is aborted.
constexpr runtime::Duration kStallTimeout = std::chrono::seconds(30);

}  // namespace

InferenceRequest::InferenceRequest(GatewayContext* context, CallerRequest call, InferenceBody body)
    : RetryableRequest(context, std::move(call)),
      body_(std::move(body)),
      stall_timer_(context->runtime->timers) {}

void InferenceRequest::ComputePromptIdentity() {
  const ModelEntry* model = context()->lookup->FindModel(body_.model);
  block_bytes_ = model == nullptr ? 0 : model->block_bytes;
  const uint64_t revision = model == nullptr ? 0 : model->revision;
  seed_ = context()->lookup->SeedFor(body_.model, revision, call().tenant->name());
  std::string salt = index::CacheSalt(seed_);
  if (salt == salt_) return;
  salt_ = std::move(salt);
  chain_ = index::HashBlocks(salt_, body_.prompt, block_bytes_);
}

RouteDecision InferenceRequest::Plan(const std::vector<std::string>& attempted_backends,
                                     AttemptPlan* plan) {
  ComputePromptIdentity();
  RouteQuery query;
  query.model = &body_.model;
  query.seed = &seed_;
  query.chain = &chain_;
  query.priority = call().tenant->priority();
  query.attempted_backends = &attempted_backends;
  decision_ = context()->router->RouteInference(query);
  if (decision_.outcome != RouteDecision::Outcome::kChosen) return decision_;
  const uint32_t available_blocks = std::max(decision_.cached_blocks, decision_.fetch_blocks);
  plan->pending_blocks = chain_.size() - std::min<size_t>(available_blocks, chain_.size());
  plan->stream = body_.stream;
  plan->request.method = "POST";
  plan->request.target = body_.chat ? "/v1/chat/completions" : "/v1/completions";
  plan->request.body = call().request.body;
  AddRouteHeaders(decision_, &plan->request.headers);
  return decision_;
}

void InferenceRequest::AddRouteHeaders(const RouteDecision& decision,
                                       http::Headers* headers) const {
  headers->Add(header::kCacheSalt, salt_);
  headers->Add(header::kModelRevision, std::to_string(seed_.model_revision));
  if (decision.fetch_endpoint.empty()) return;
  headers->Add(header::kKvSource, decision.fetch_endpoint);
  headers->Add(header::kKvBlocks, std::to_string(decision.fetch_blocks));
}

absl::Status InferenceRequest::CheckResponse(const http::Response& response) {
  return CheckCompletionBody(response.body, call().request_id);
}

void InferenceRequest::OnValidResponse(const http::Response& response) {
  RecordPrefixCached(response.headers);
}

void InferenceRequest::RecordPrefixCached(const http::Headers& head) {
  const uint64_t epoch = NumberField(head, header::kWorkerEpoch);
  const uint64_t cached = NumberField(head, header::kWorkerCachedBlocks);
  context()->metrics->prompt_blocks.Increment("asked", static_cast<double>(chain_.size()));
  context()->metrics->prompt_blocks.Increment("cached", static_cast<double>(cached));
  if (epoch == 0 || chain_.empty()) return;
  context()->locator->RecordDispatch(seed_, chain_, attempt()->backend()->backend.id(), epoch);
}

void InferenceRequest::OnStreamHead(const http::Response& head) {
  stream_headers_ = head.headers;
  relay_ = std::make_unique<StreamRelay>(call().writer, call().request_id,
                                         context()->options->max_stream_buffer_bytes);
}

void InferenceRequest::OnStreamChunk(std::string chunk) {
  const bool was_started = relay_->response_started();
  if (absl::Status status = relay_->Feed(std::move(chunk)); !status.ok()) {
    OnStreamBroken(status);
    return;
  }
  if (!was_started && relay_->response_started()) OnFirstChunk();
  if (relay_->Full() && !reading_stopped_) ApplyBackpressure();
}

void InferenceRequest::OnFirstChunk() {
  // From here on, only the gaps between chunks are bounded, not the total time.
  deadline_timer()->Cancel();
  ObserveFirstByte();
  context()->backends->health()->OnSuccess(attempt()->backend());
  MeasureFirstChunk();
  RecordPrefixCached(stream_headers_);
}

void InferenceRequest::MeasureFirstChunk() {
  const uint64_t cached =
      std::min<uint64_t>(NumberField(stream_headers_, header::kWorkerCachedBlocks), chain_.size());
  const uint64_t prefilled = chain_.size() - cached;
  const runtime::Duration elapsed = context()->runtime->clock->Now() - attempt()->started();
  BackendEntry* const worker = attempt()->backend();
  if (decision_.fetch_endpoint.empty()) {
    const double prefill_milliseconds =
        static_cast<double>(prefilled) * context()->links->PrefillCost();
    context()->backends->load()->OnWaitMeasured(
        worker, runtime::ToMilliseconds(elapsed) - prefill_milliseconds);
    context()->links->RecordPrefill(prefilled, elapsed);
    return;
  }
  // A fetch that returned no blocks also took time; it counts with the expected number of blocks.
  const uint64_t fetched = cached > decision_.cached_blocks
                               ? cached - decision_.cached_blocks
                               : decision_.fetch_blocks - decision_.cached_blocks;
  context()->links->RecordFetch(decision_.fetch_source, worker->backend.id(), fetched, prefilled,
                                elapsed);
}

void InferenceRequest::ApplyBackpressure() {
  reading_stopped_ = true;
  context()->metrics->stream_pauses.Increment();
  attempt()->StopReading();
  stall_timer_.Start(kStallTimeout, [this] {
    attempt()->Fail({AttemptFailure::Cause::kTimeout, "the caller doesn't read its response"});
  });
  std::weak_ptr<ActiveRequest> weak = weak_from_this();
  call().writer->OnWritable([this, weak] {
    const auto self = weak.lock();
    if (self == nullptr || !reading_stopped_) return;
    reading_stopped_ = false;
    stall_timer_.Cancel();
    if (attempt() != nullptr) attempt()->ResumeReading();
  });
}

void InferenceRequest::OnStreamEnd() {
  if (absl::Status status = relay_->Finish(); !status.ok()) {
    // The attempt itself has ended and can't fail any more.
    context()->backends->health()->OnFailure(attempt()->backend());
    OnAttemptFailed({AttemptFailure::Cause::kTruncated, status.ToString()});
    return;
  }
  Complete();
}

void InferenceRequest::OnStreamBroken(const absl::Status& status) {
  attempt()->Fail({AttemptFailure::Cause::kInvalidResponse, status.ToString()});
}

void InferenceRequest::OnAttemptFailed(AttemptFailure failure) {
  stall_timer_.Cancel();
  if (failure.cause == AttemptFailure::Cause::kRejected) {
    context()->backends->health()->OnRejected(attempt()->backend(), seed_.model_revision,
                                              failure.status);
  }
  RetryableRequest::OnAttemptFailed(std::move(failure));
}

void InferenceRequest::AbortStream(const ApiError& error) { relay_->AbortWithError(error); }

}  // namespace posthatch::gateway
