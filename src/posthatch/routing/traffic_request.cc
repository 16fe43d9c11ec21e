#include "posthatch/routing/traffic_request.h"

#include <algorithm>
#include <utility>

namespace posthatch::routing {
namespace {

constexpr runtime::Duration kConnectTimeout = std::chrono::milliseconds(300);
// With less time than this, another attempt can't succeed.
constexpr runtime::Duration kMinTimeForRetry = std::chrono::milliseconds(40);
// A resumable stream without data for this long is resumed at another worker.
constexpr runtime::Duration kStreamIdleTimeout = std::chrono::milliseconds(1800);
constexpr size_t kMaxResponseBytes = size_t{32} * 1024 * 1024;
// Retry-after time sent to callers when no worker is eligible: within this time workers become
// free, end their slow start, or are discovered again. Jittered, so that callers don't all retry at
// once.
constexpr runtime::Duration kRetryAfter = std::chrono::milliseconds(200);
constexpr runtime::Duration kRetryAfterJitter = std::chrono::milliseconds(200);
// A pooled connection that has been idle for longer may be closed by its server at any moment,
// which would lose a request that must not be retried.
constexpr double kMaxIdleFractionNonIdempotent = 0.4;
constexpr double kMaxIdleFractionIdempotent = 0.75;
constexpr uint32_t kLowestPriority = 9;
// A first event this much later than expected, after a transfer of cached segments, means that
// transfers to the worker are slow.
constexpr double kSlowTransferExcessMs = 800;
// A first event this much later than expected, after a fetch from a store, counts as a delayed
// fetch from the store.
constexpr double kDelayedFetchMs = 250;
// A prefill of fewer shared tokens ends before its announcement could be useful.
constexpr uint64_t kMinTokensToAnnounce = 1024;
constexpr int kFirstServerError = 500;
constexpr int kStatusTimeout = 408;
constexpr int kStatusMisdirected = 421;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusUnavailable = 503;

bool IsSuccess(int status) { return status >= 200 && status < 300; }

// Statuses by which callers conclude that a request has not run and never will.
bool GuaranteesNotExecuted(int status) {
  return status == kStatusTimeout || status == kStatusMisdirected ||
         status == kStatusTooManyRequests || status == kStatusUnavailable;
}

}  // namespace

TrafficRequest::TrafficRequest(TrafficContext* context, AdmittedCall admitted)
    : context_(context),
      admitted_(std::move(admitted)),
      trace_(context, &admitted_),
      prompt_(context, &admitted_),
      retries_(&admitted_.route, &context->switches),
      deadline_timer_(context->runtime->timers),
      revision_timer_(context->runtime->timers) {
  runtime::Duration timeout = std::chrono::milliseconds(admitted_.route.timeout_ms());
  if (admitted_.call.time_left.has_value()) timeout = std::min(timeout, *admitted_.call.time_left);
  deadline_ = admitted_.received_at + timeout;
  if (!admitted_.call.resume_after.empty()) sse_framer_.SetLastEventId(admitted_.call.resume_after);
}

runtime::Duration TrafficRequest::TimeRemaining() const {
  return deadline_ - context_->runtime->clock->Now();
}

http::PooledConnectionRules TrafficRequest::PooledConnections() const {
  http::PooledConnectionRules rules;
  rules.max_idle_fraction =
      retries_.IsIdempotent() ? kMaxIdleFractionIdempotent : kMaxIdleFractionNonIdempotent;
  for (const FailedDispatch& dispatch : retries_.failed_dispatches()) {
    rules.excluded.push_back(dispatch.connection.connection_id);
  }
  return rules;
}

void TrafficRequest::Start() {
  std::weak_ptr<TrafficRequest> weak = weak_from_this();
  admitted_.writer->OnCallerDisconnected([weak] {
    if (const auto self = weak.lock()) self->OnCallerDisconnected();
  });
  deadline_timer_.Start(std::max(TimeRemaining(), runtime::Duration::zero()),
                        [this] { OnDeadline(); });
  DispatchAttempt();
}

void TrafficRequest::DispatchAttempt() {
  if (TimeRemaining() < kMinTimeForRetry) {
    return EndWithFailure(LocalReplyReason::kTimeout, RequestOutcome::kTimedOut);
  }
  Placement placement = context_->placer->Choose(MakePlacementQuery());
  if (placement.worker == nullptr || !RetryBudgetAllows()) {
    return EndWithFailure(LocalReplyReason::kFailed, RequestOutcome::kRejected);
  }
  Dispatch(std::move(placement));
}

PlacementQuery TrafficRequest::MakePlacementQuery() {
  PlacementQuery query;
  query.service = &admitted_.service;
  query.attempted_workers = &retries_.attempted_workers();
  query.pooled_connections = PooledConnections();
  if (!admitted_.IsPrompt()) return query;
  query.prompt = &prompt_.shape();
  if (context_->switches.stores) query.store = context_->stores->StoreFor(prompt_.shape().affinity);
  if (context_->switches.index) query.holders = prompt_.LocatePrefix();
  query.in_flight_prefills = context_->in_flight_prefills;
  return query;
}

bool TrafficRequest::RetryBudgetAllows() {
  const std::string& service = admitted_.service.name();
  if (attempt_number_ == 0) {
    context_->retry_budget->CountRequest(service);
    return true;
  }
  // The budget limits the requests that workers receive: retries are free until an attempt has
  // reached a worker.
  return !retries_.HasReachedWorker() || context_->retry_budget->TryRetry(service);
}

DispatchKind TrafficRequest::NextDispatchKind() const {
  if (stream_started_) return DispatchKind::kResume;
  return retries_.HasReachedWorker() ? DispatchKind::kRetry : DispatchKind::kFirst;
}

void TrafficRequest::CountDispatch(const Placement& placement) {
  TrafficMetrics* metrics = context_->metrics;
  metrics->dispatches.Increment(KindLabel(NextDispatchKind()));
  if (!admitted_.IsPrompt()) return;
  metrics->prompt_tokens.Increment("asked", static_cast<double>(prompt_.shape().total_tokens()));
  metrics->prompt_tokens.Increment("believed_missing",
                                   static_cast<double>(placement.uncached_tokens));
  metrics->prompt_tokens.Increment("fetched", static_cast<double>(placement.fetch_tokens));
  const Worker& worker = *placement.worker;
  if (context_->pool->OutdatedFor(worker.backend.model(), worker.revision).has_value()) {
    metrics->outdated_prompts.Increment("dispatched");
  }
}

DispatchFields TrafficRequest::MakeDispatchFields(const Placement& placement) const {
  DispatchFields fields;
  fields.instance_id = placement.worker->backend.id();
  fields.tenant = admitted_.tenant;
  fields.time_left = TimeRemaining();
  fields.resume_after = sse_framer_.last_event_id();
  if (!admitted_.IsPrompt()) return fields;
  fields.expected_revision = placement.worker->revision;
  if (context_->switches.priorities) {
    fields.priority = std::min(admitted_.priority, kLowestPriority);
  }
  fields.cache_salt = prompt_.CacheSalt(fields.expected_revision);
  fields.fetch_endpoint = placement.fetch_endpoint;
  fields.save_endpoint = placement.save_endpoint;
  return fields;
}

http::CallOptions TrafficRequest::MakeCallOptions() const {
  http::CallOptions options;
  const runtime::Duration remaining = std::max(TimeRemaining(), kMinTimeForRetry);
  options.connect_timeout = std::min(kConnectTimeout, remaining);
  options.head_timeout = remaining;
  options.body_idle_timeout =
      retries_.IsResumable() ? std::min(remaining, kStreamIdleTimeout) : remaining;
  options.max_body_bytes = SIZE_MAX;
  options.accept_close_delimited = true;
  options.pooled_connections = PooledConnections();
  // Without an id, its response can't be told from any other one on the connection.
  options.fresh_connection = admitted_.call.request_id.empty();
  return options;
}

http::CallObserver TrafficRequest::MakeCallObserver() {
  http::CallObserver observer;
  const auto is_current = [this, number = attempt_number_] {
    return !ended_ && number == attempt_number_;
  };
  observer.on_head = [this, is_current](const http::Response& head) {
    if (is_current()) OnHead(head);
  };
  observer.on_chunk = [this, is_current](const std::string& chunk) {
    if (is_current()) OnBodyChunk(chunk);
  };
  observer.on_end = [this, is_current] {
    if (is_current()) OnEnd();
  };
  observer.on_error = [this, is_current](const http::CallError& error) {
    if (is_current()) OnCallError(error);
  };
  return observer;
}

void TrafficRequest::Dispatch(Placement placement) {
  ++attempt_number_;
  const DispatchFields fields = MakeDispatchFields(placement);
  CountDispatch(placement);
  attempt_ = Attempt();
  attempt_.worker = placement.worker;
  attempt_.placement = std::move(placement);
  attempt_.revision = fields.expected_revision;
  if (admitted_.IsPrompt()) AnnouncePrefill();
  context_->pool->OnDispatched(attempt_.worker.get(), attempt_.placement.uncached_tokens);
  attempt_.prefill_pending = true;
  attempt_.started_at = context_->runtime->clock->Now();
  attempt_.call = context_->runtime->http_client->Start(
      attempt_.worker->backend.endpoint(),
      context_->format->MakeDispatch(admitted_.request, fields), MakeCallOptions(),
      MakeCallObserver());
  trace_.Dispatched(attempt_number_, fields, prompt_.shape(), attempt_.placement,
                    attempt_.call->connection_use());
  CheckRevisionDeadline();
}

void TrafficRequest::CheckRevisionDeadline() {
  const bool waits = !ended_ && attempt_.worker != nullptr && !attempt_.first_event_seen;
  if (!waits || !admitted_.IsPrompt()) return;
  const std::optional<runtime::Duration> time_left =
      context_->pool->TimeUntilCancellation(attempt_.worker->backend.model(), attempt_.revision);
  if (!time_left.has_value()) return;
  if (*time_left <= runtime::Duration::zero()) return OnAttemptFailed(DispatchFailure::kOutdated);
  revision_timer_.Start(*time_left, [this] { CheckRevisionDeadline(); });
}

// Announces to all gateways that the worker is about to cache the shared segments, unless they are
// cached there already.
void TrafficRequest::AnnouncePrefill() {
  const PromptShape& shape = prompt_.shape();
  const uint64_t unshared_tokens = shape.total_tokens() - shape.shared_tokens;
  const bool prefills_shared = attempt_.placement.uncached_tokens > unshared_tokens;
  if (context_->in_flight_prefills == nullptr || !prefills_shared) return;
  if (shape.shared_tokens < kMinTokensToAnnounce) return;
  PrefillStart start;
  start.affinity = shape.affinity;
  start.revision = attempt_.revision;
  start.worker_id = attempt_.worker->backend.id();
  start.ready_in = std::chrono::milliseconds(static_cast<int64_t>(attempt_.placement.expected_ms));
  context_->in_flight_prefills->Add(start);
  context_->load_reporter->AnnouncePrefill(std::move(start));
}

void TrafficRequest::OnHead(const http::Response& head) {
  const ResponseClassification classification =
      context_->format->ClassifyResponse(admitted_.call, head);
  trace_.ResponseHead(attempt_number_, head, classification, *attempt_.worker,
                      attempt_.call->connection_use());
  if (!classification.matches_request) {
    // Its own response follows, if this one is a late copy of another request's.
    if (attempt_.call->SkipResponse()) return;
    return OnAttemptFailed(DispatchFailure::kMismatched);
  }
  WorkerPool* pool = context_->pool;
  const bool wrong_worker = !classification.instance_id.empty() &&
                            classification.instance_id != attempt_.worker->backend.id();
  if (wrong_worker) {
    pool->OnFailure(attempt_.worker.get(), WorkerFailure::kUnreachable);
  } else if (classification.revision > 0) {
    pool->OnRevisionSeen(attempt_.worker.get(), classification.revision);
  }
  if (classification.execution == Execution::kNotExecuted) {
    return OnAttemptFailed(classification.misdirected ? DispatchFailure::kMisdirected
                                                      : DispatchFailure::kNotExecuted);
  }
  attempt_.response.status = head.status;
  attempt_.response.headers = head.headers;
  attempt_.streaming = admitted_.route.kind() == control::STREAMING && IsSuccess(head.status);
  if (!attempt_.streaming && stream_started_) {
    return OnAttemptFailed(DispatchFailure::kServerError);
  }
  if (!attempt_.streaming || stream_started_) return;
  stream_started_ = true;
  admitted_.writer->StartStream(attempt_.response);
}

void TrafficRequest::OnBodyChunk(const std::string& chunk) {
  if (attempt_.streaming) return RelayEvents(chunk);
  std::string& body = attempt_.response.body;
  body.append(chunk);
  if (body.size() > kMaxResponseBytes) OnAttemptFailed(DispatchFailure::kTruncated);
}

void TrafficRequest::RelayEvents(const std::string& chunk) {
  const uint64_t events_before = sse_framer_.events();
  std::string complete_events = sse_framer_.Feed(chunk);
  if (sse_framer_.events() == events_before) return;
  if (!attempt_.first_event_seen) OnFirstEvent();
  admitted_.writer->WriteChunk(std::move(complete_events));
}

void TrafficRequest::OnFirstEvent() {
  attempt_.first_event_seen = true;
  ReleasePendingTokens();
  if (!admitted_.IsPrompt()) return;
  const runtime::Duration elapsed = context_->runtime->clock->Now() - attempt_.started_at;
  CountOutdatedStart(elapsed);
  UpdateEstimates(elapsed);
  prompt_.RecordCached(attempt_.worker->backend.id(), attempt_.revision);
}

void TrafficRequest::CountOutdatedStart(runtime::Duration elapsed) {
  const std::optional<runtime::Duration> outdated_for =
      context_->pool->OutdatedFor(attempt_.worker->backend.model(), attempt_.revision);
  if (!outdated_for.has_value()) return;
  const bool past_deadline = context_->pool->IsPastRevisionDeadline(*outdated_for);
  context_->metrics->outdated_prompts.Increment(past_deadline ? "began_late" : "began");
  if (!past_deadline) return;
  trace_.OutdatedPromptBegan(attempt_.placement, attempt_.revision, elapsed, *outdated_for);
}

void TrafficRequest::UpdateEstimates(runtime::Duration elapsed) {
  const Placement& placement = attempt_.placement;
  const double excess_ms = runtime::ToMilliseconds(elapsed) - placement.expected_ms;
  context_->pool->RecordWait(attempt_.worker.get(), excess_ms);
  const bool fetched = !placement.fetch_endpoint.empty();
  if (fetched && excess_ms > kSlowTransferExcessMs) {
    context_->pool->OnSlowTransfer(attempt_.worker.get(), placement.fetch_endpoint);
  }
  context_->stores->RecordFetch(placement.fetch_endpoint, excess_ms > kDelayedFetchMs);
  trace_.FirstEvent(placement, elapsed);
  // The time of a fetch says nothing about the prefill rate.
  if (fetched) return;
  context_->placer->prefill_rate()->Record(placement.uncached_tokens - placement.fetch_tokens,
                                           elapsed);
}

void TrafficRequest::OnEnd() {
  if (attempt_.streaming) return OnStreamEnd();
  OnResponseComplete();
}

void TrafficRequest::OnStreamEnd() {
  if (!sse_framer_.at_event_boundary()) return OnAttemptFailed(DispatchFailure::kTruncated);
  context_->pool->OnSuccess(attempt_.worker.get());
  admitted_.writer->FinishStream();
  End(RequestOutcome::kOk);
}

void TrafficRequest::OnResponseComplete() {
  const bool worker_failed = attempt_.response.status >= kFirstServerError;
  if (worker_failed && MayRetry(/*unrecorded_executions=*/1)) {
    return OnAttemptFailed(DispatchFailure::kServerError);
  }
  // The worker ran the request, so the status must not say that it did not run.
  if (GuaranteesNotExecuted(attempt_.response.status)) {
    return OnAttemptFailed(DispatchFailure::kServerError);
  }
  if (worker_failed) {
    context_->pool->OnFailure(attempt_.worker.get(), WorkerFailure::kRequestFailed);
  } else {
    context_->pool->OnSuccess(attempt_.worker.get());
  }
  admitted_.writer->SendResponse(std::move(attempt_.response));
  End(worker_failed ? RequestOutcome::kWorkerError : RequestOutcome::kOk);
}

void TrafficRequest::OnCallError(const http::CallError& error) {
  switch (error.progress) {
    case http::CallProgress::kNotSent:
      return OnAttemptFailed(DispatchFailure::kUnreachable);
    case http::CallProgress::kSent:
      return OnAttemptFailed(DispatchFailure::kLost);
    case http::CallProgress::kHeadReceived:
      return OnAttemptFailed(DispatchFailure::kTruncated);
  }
}

void TrafficRequest::ReportFailureToPool(DispatchFailure failure) {
  switch (failure) {
    case DispatchFailure::kUnreachable:
      return context_->pool->OnFailure(attempt_.worker.get(), WorkerFailure::kUnreachable);
    case DispatchFailure::kNotExecuted:
    case DispatchFailure::kMisdirected:
      return context_->pool->OnRejected(attempt_.worker.get());
    case DispatchFailure::kOutdated:
      return;
    case DispatchFailure::kLost:
    case DispatchFailure::kTruncated:
    case DispatchFailure::kMismatched:
    case DispatchFailure::kServerError:
      return context_->pool->OnFailure(attempt_.worker.get(), WorkerFailure::kRequestFailed);
  }
}

void TrafficRequest::OnAttemptFailed(DispatchFailure failure) {
  context_->metrics->failures.Increment(FailureLabel(failure));
  ReportFailureToPool(failure);
  retries_.RecordFailure({failure, attempt_.worker->backend.id(), attempt_.call->connection_use(),
                          context_->runtime->clock->Now() - attempt_.started_at});
  ReleaseWorker();
  sse_framer_.DiscardPartial();
  if (MayRetry(/*unrecorded_executions=*/0)) return DispatchAttempt();
  EndWithFailure(LocalReplyReason::kFailed, RequestOutcome::kFailed);
}

bool TrafficRequest::MayRetry(uint32_t unrecorded_executions) const {
  return TimeRemaining() >= kMinTimeForRetry &&
         retries_.MayRetry(stream_started_, unrecorded_executions);
}

void TrafficRequest::ReleaseWorker() {
  if (attempt_.worker == nullptr) return;
  ReleasePendingTokens();
  context_->pool->OnRequestEnded(attempt_.worker.get());
  attempt_.worker = nullptr;
  ++attempt_number_;  // callbacks of this call are ignored from now on
  context_->owner->DestroyLater(std::move(attempt_.call));
}

void TrafficRequest::ReleasePendingTokens() {
  if (!std::exchange(attempt_.prefill_pending, false)) return;
  context_->pool->OnPrefillDone(attempt_.worker.get(), attempt_.placement.uncached_tokens);
}

void TrafficRequest::OnDeadline() {
  if (ended_) return;
  if (attempt_.worker != nullptr) {
    retries_.RecordPossibleExecution();
    ReleaseWorker();
  }
  EndWithFailure(LocalReplyReason::kTimeout, RequestOutcome::kTimedOut);
}

void TrafficRequest::OnCallerDisconnected() {
  if (ended_) return;
  ReleaseWorker();
  End(RequestOutcome::kDisconnected);
}

void TrafficRequest::EndWithFailure(LocalReplyReason reason, RequestOutcome outcome) {
  if (stream_started_) {
    admitted_.writer->Abort();
    return End(RequestOutcome::kTruncated);
  }
  if (retries_.possible_executions() > 0) {
    return SendLocalReply({reason, runtime::Duration::zero(), ""}, outcome);
  }
  const runtime::Duration retry_after =
      context_->runtime->random->Between(kRetryAfter, kRetryAfter + kRetryAfterJitter);
  SendLocalReply({LocalReplyReason::kUnavailable, retry_after, "no worker may take it now"},
                 RequestOutcome::kRejected);
}

void TrafficRequest::SendLocalReply(const LocalReply& reply, RequestOutcome outcome) {
  admitted_.writer->SendResponse(context_->format->MakeLocalReply(reply));
  End(outcome);
}

void TrafficRequest::End(RequestOutcome outcome) {
  ReleaseWorker();
  ended_ = true;
  deadline_timer_.Cancel();
  revision_timer_.Cancel();
  context_->metrics->responses.Increment(OutcomeLabel(outcome));
  trace_.Ended(outcome, retries_, stream_started_);
  context_->owner->Retire(this);
}

}  // namespace posthatch::routing
