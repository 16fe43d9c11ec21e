#include "posthatch/routing/traffic_request.h"

#include <algorithm>
#include <utility>

#include "posthatch/index/trusted_prefix_locator.h"

namespace posthatch::routing {
namespace {

constexpr runtime::Duration kConnectTimeout = std::chrono::milliseconds(300);
// With less time than this a further attempt brings nothing.
constexpr runtime::Duration kMinTimeForRetry = std::chrono::milliseconds(40);
// A stream that may go on elsewhere is taken for lost after this silence.
constexpr runtime::Duration kStreamIdleTimeout = std::chrono::milliseconds(1800);
// Dispatches that are proved not to have run, per call.
constexpr uint32_t kMaxUnexecutedAttempts = 4;
constexpr size_t kMaxResponseBytes = size_t{32} * 1024 * 1024;
// When nobody may take the call: workers become free, warm or known again within this.
constexpr runtime::Duration kRetryAfter = std::chrono::milliseconds(200);
constexpr runtime::Duration kRetryAfterSpread = std::chrono::milliseconds(200);
// Kept connections that were idle for longer than this share of their time are not used for calls
// that must not be lost.
constexpr double kMaxIdleFractionNonIdempotent = 0.4;
constexpr double kMaxIdleFractionIdempotent = 0.75;
constexpr uint32_t kLowestPriority = 9;
// A first event that comes so much later than expected, after a move of kept segments, means that
// moves are slow there.
constexpr double kSlowTransferExcessMs = 800;
// A first event that comes so much later, after a fetch from a store, counts against the store.
constexpr double kDelayedFetchMs = 250;
// Fewer shared tokens are read again sooner than told.
constexpr uint64_t kMinTokensToAnnounce = 1024;
constexpr int kFirstServerError = 500;
constexpr int kStatusTimeout = 408;
constexpr int kStatusMisdirected = 421;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusUnavailable = 503;

bool IsSuccess(int status) { return status >= 200 && status < 300; }

// Statuses that promise that a call has not run and never will.
bool GuaranteesNotExecuted(int status) {
  return status == kStatusTimeout || status == kStatusMisdirected ||
         status == kStatusTooManyRequests || status == kStatusUnavailable;
}

}  // namespace

const char* TrafficRequest::FailureLabel(Failure failure) {
  switch (failure) {
    case Failure::kUnreachable:
      return "unreachable";
    case Failure::kNotExecuted:
      return "not_executed";
    case Failure::kMisdirected:
      return "misdirected";
    case Failure::kLost:
      return "lost";
    case Failure::kTruncated:
      return "broken";
    case Failure::kMismatched:
      return "foreign_answer";
    case Failure::kServerError:
      return "worker_error";
  }
  return "unknown";
}

TrafficRequest::TrafficRequest(TrafficContext* context, AdmittedCall admitted)
    : context_(context), admitted_(std::move(admitted)), deadline_timer_(context->runtime->timers) {
  runtime::Duration timeout = std::chrono::milliseconds(admitted_.route.timeout_ms());
  if (admitted_.call.time_left.has_value()) timeout = std::min(timeout, *admitted_.call.time_left);
  deadline_ = admitted_.received_at + timeout;
  if (!admitted_.call.resume_after.empty()) events_.SetLastEventId(admitted_.call.resume_after);
}

bool TrafficRequest::IsIdempotent() const {
  if (admitted_.route.kind() == control::REPEATABLE) return true;
  return admitted_.route.kind() == control::STREAMING && admitted_.route.resumable();
}

double TrafficRequest::MaxIdleFraction() const {
  return IsIdempotent() ? kMaxIdleFractionIdempotent : kMaxIdleFractionNonIdempotent;
}

runtime::Duration TrafficRequest::TimeRemaining() const {
  return deadline_ - context_->runtime->clock->Now();
}

void TrafficRequest::Start() {
  std::weak_ptr<TrafficRequest> weak = weak_from_this();
  admitted_.writer->OnCallerDisconnected([weak] {
    if (const auto self = weak.lock()) self->OnCallerDisconnected();
  });
  deadline_timer_.Start(std::max(TimeRemaining(), runtime::Duration::zero()),
                        [this] { OnDeadline(); });
  if (IsPrompt()) DescribePrompt();
  DispatchAttempt();
}

void TrafficRequest::DescribePrompt() {
  uint64_t tokens = 0;
  std::vector<std::string> ids;
  for (const PromptSegment& segment : admitted_.call.segments) {
    tokens += segment.tokens;
    shape_.cumulative_tokens.push_back(tokens);
    ids.push_back(segment.id);
  }
  // Calls with one segment only share nothing: they may go anywhere.
  const size_t shared = ids.empty() ? 0 : ids.size() - 1;
  // Prompts of tenants that share nothing needn't meet: the salt of no revision tells them apart.
  ids.insert(ids.begin(), index::CacheSalt(context_->lookup->SeedFor(admitted_.call.model, 0,
                                                                     admitted_.tenant)));
  shape_.affinity = index::HashOfSegments(ids, shared + 1);
  shape_.shared_tokens = shape_.TokensInFirst(static_cast<uint32_t>(shared));
}

// While a roll-out goes on, workers of the older revision keep what was made under it: each holder
// names the revision under which it may be used.
std::vector<index::PrefixHolder> TrafficRequest::LocatePrefix() {
  const std::string& model = admitted_.call.model;
  std::vector<std::string> ids;
  for (const PromptSegment& segment : admitted_.call.segments) ids.push_back(segment.id);
  std::vector<uint64_t> revisions = context_->pool->RevisionsServed(admitted_.service.name());
  const bool newest_revision_only = !context_->switches.older_revisions;
  if (newest_revision_only || revisions.empty())
    revisions = {context_->pool->TargetRevision(model)};
  chains_.clear();
  std::vector<index::PrefixHolder> holders;
  for (const uint64_t revision : revisions) {
    HashedChain chain;
    chain.seed = context_->lookup->SeedFor(model, revision, admitted_.tenant);
    chain.blocks = index::HashSegments(index::CacheSalt(chain.seed), ids);
    const std::vector<index::PrefixHolder> found =
        context_->locator->Locate(chain.seed, chain.blocks);
    holders.insert(holders.end(), found.begin(), found.end());
    chains_.push_back(std::move(chain));
  }
  return holders;
}

void TrafficRequest::DispatchAttempt() {
  if (TimeRemaining() < kMinTimeForRetry) return EndUnserved(LocalReplyReason::kTimeout, "timeout");
  PlacementQuery query;
  query.service = &admitted_.service;
  query.attempted_workers = &attempted_workers_;
  query.max_idle_fraction = MaxIdleFraction();
  if (IsPrompt()) {
    query.prompt = &shape_;
    if (context_->switches.stores) query.store = context_->stores->StoreFor(shape_.affinity);
    if (context_->switches.index) query.holders = LocatePrefix();
    query.in_flight_prefills = context_->in_flight_prefills;
  }
  Placement placement = context_->placer->Choose(query);
  if (placement.worker == nullptr) return EndUnserved(LocalReplyReason::kFailed, "refused");
  if (!RetryBudgetAllows()) return EndUnserved(LocalReplyReason::kFailed, "refused");
  Dispatch(std::move(placement));
}

bool TrafficRequest::RetryBudgetAllows() {
  const std::string& service = admitted_.service.name();
  if (attempt_ == 0) {
    context_->retry_budget->CountRequest(service);
    return true;
  }
  const bool reached_worker = possible_executions_ + unexecuted_attempts_ > 0;
  return !reached_worker || context_->retry_budget->TryRetry(service);
}

DispatchFields TrafficRequest::MakeDispatchFields(const Placement& placement) {
  DispatchFields fields;
  fields.instance_id = placement.worker->backend.id();
  fields.tenant = admitted_.tenant;
  fields.time_left = TimeRemaining();
  fields.resume_after = events_.last_event_id();
  if (!IsPrompt()) return fields;
  revision_ = placement.worker->revision;
  fields.expected_revision = revision_;
  if (context_->switches.priorities) {
    fields.priority = std::min(admitted_.priority, kLowestPriority);
  }
  fields.cache_salt = index::CacheSalt(
      context_->lookup->SeedFor(admitted_.call.model, revision_, admitted_.tenant));
  fields.fetch_endpoint = placement.fetch_endpoint;
  fields.save_endpoint = placement.save_endpoint;
  return fields;
}

http::CallOptions TrafficRequest::MakeCallOptions() const {
  http::CallOptions options;
  const runtime::Duration remaining = std::max(TimeRemaining(), kMinTimeForRetry);
  options.connect_timeout = std::min(kConnectTimeout, remaining);
  options.head_timeout = remaining;
  options.body_idle_timeout = remaining;
  const bool is_resumable =
      admitted_.route.kind() == control::STREAMING && admitted_.route.resumable();
  if (is_resumable) options.body_idle_timeout = std::min(remaining, kStreamIdleTimeout);
  options.max_body_bytes = SIZE_MAX;
  options.accept_close_delimited = true;
  options.max_idle_fraction = MaxIdleFraction();
  return options;
}

http::CallObserver TrafficRequest::MakeCallObserver(uint64_t attempt) {
  http::CallObserver observer;
  const auto current = [this, attempt] { return !ended_ && attempt == attempt_; };
  observer.on_head = [this, current](const http::Response& head) {
    if (current()) OnHead(head);
  };
  observer.on_chunk = [this, current](const std::string& chunk) {
    if (current()) OnBodyChunk(chunk);
  };
  observer.on_end = [this, current] {
    if (current()) OnEnd();
  };
  observer.on_error = [this, current](const http::CallError& error) {
    if (current()) OnCallError(error);
  };
  return observer;
}

void TrafficRequest::Dispatch(Placement placement) {
  ++attempt_;
  const DispatchFields fields = MakeDispatchFields(placement);
  context_->metrics->dispatches.Increment(
      stream_started_ ? "resume"
                      : (possible_executions_ + unexecuted_attempts_ > 0 ? "retry" : "first"));
  if (IsPrompt()) {
    context_->metrics->prompt_tokens.Increment("asked", static_cast<double>(shape_.total_tokens()));
    context_->metrics->prompt_tokens.Increment("believed_missing",
                                               static_cast<double>(placement.uncached_tokens));
    context_->metrics->prompt_tokens.Increment("fetched",
                                               static_cast<double>(placement.fetch_tokens));
  }
  placement_ = std::move(placement);
  worker_ = placement_.worker;
  TraceDispatch(fields);
  if (IsPrompt()) AnnouncePrefill();
  context_->pool->OnDispatched(worker_.get(), placement_.uncached_tokens);
  prefill_pending_ = true;
  first_event_seen_ = false;
  streaming_ = false;
  response_ = http::Response();
  dispatched_at_ = context_->runtime->clock->Now();
  call_ = context_->runtime->http_client->Start(
      worker_->backend.endpoint(), context_->format->MakeDispatch(admitted_.request, fields),
      MakeCallOptions(), MakeCallObserver(attempt_));
}

// Tells all gateways that the shared segments are about to be kept at the worker, unless they were.
void TrafficRequest::AnnouncePrefill() {
  const uint64_t unshared_tokens = shape_.total_tokens() - shape_.shared_tokens;
  const bool prefills_shared = placement_.uncached_tokens > unshared_tokens;
  if (context_->in_flight_prefills == nullptr || !prefills_shared) return;
  if (shape_.shared_tokens < kMinTokensToAnnounce) return;
  PrefillStart start;
  start.affinity = shape_.affinity;
  start.revision = revision_;
  start.worker_id = worker_->backend.id();
  start.ready_in = std::chrono::milliseconds(static_cast<int64_t>(placement_.expected_ms));
  context_->in_flight_prefills->Add(start);
  context_->load_reporter->AnnouncePrefill(std::move(start));
}

void TrafficRequest::TraceDispatch(const DispatchFields& fields) {
  const Load load = context_->pool->TotalLoad(*worker_);
  context_->runtime->trace->Event(
      runtime::Severity::kDebug, "CallDispatched",
      {{"request_id", admitted_.call.request_id},
       {"route", admitted_.route.name()},
       {"worker", fields.instance_id},
       {"attempt", attempt_},
       {"revision", revision_},
       {"affinity", shape_.affinity},
       {"tokens", shape_.total_tokens()},
       {"shared_tokens", shape_.shared_tokens},
       {"missing_tokens", placement_.uncached_tokens},
       {"fetch_tokens", placement_.fetch_tokens},
       {"fetch_endpoint", fields.fetch_endpoint},
       {"expected_ms", placement_.expected_ms},
       {"in_flight", load.in_flight},
       {"pending_tokens", load.pending_tokens},
       {"read_rate", context_->placer->prefill_rate()->tokens_per_ms()}});
}

// What scripts/experiments/losses.py adds up, with the events above.
void TrafficRequest::TraceEnd(const char* outcome) {
  const runtime::MonotonicTime now = context_->runtime->clock->Now();
  context_->runtime->trace->Event(
      runtime::Severity::kDebug, "CallEnded",
      {{"request_id", admitted_.call.request_id},
       {"route", admitted_.route.name()},
       {"outcome", outcome},
       {"last_failure", last_failure_},
       {"attempts", static_cast<uint64_t>(attempted_workers_.size())},
       {"stream_started", stream_started_},
       {"elapsed_ms", runtime::ToMilliseconds(now - admitted_.received_at)}});
}

void TrafficRequest::OnHead(const http::Response& head) {
  const ResponseClassification classification =
      context_->format->ClassifyResponse(admitted_.call, head);
  if (!classification.matches_request) return OnAttemptFailed(Failure::kMismatched);
  const bool wrong_worker =
      !classification.instance_id.empty() && classification.instance_id != worker_->backend.id();
  if (wrong_worker) {
    context_->pool->OnFailure(worker_.get(), /*unreachable=*/true);
  } else if (classification.revision > 0) {
    context_->pool->OnRevisionSeen(worker_.get(), classification.revision);
  }
  if (classification.execution == Execution::kNotExecuted) {
    return OnAttemptFailed(classification.misdirected ? Failure::kMisdirected
                                                      : Failure::kNotExecuted);
  }
  response_.status = head.status;
  response_.headers = head.headers;
  streaming_ = admitted_.route.kind() == control::STREAMING && IsSuccess(head.status);
  if (!streaming_ && stream_started_) return OnAttemptFailed(Failure::kServerError);
  if (!streaming_ || stream_started_) return;
  stream_started_ = true;
  admitted_.writer->StartStream(response_);
}

void TrafficRequest::OnBodyChunk(const std::string& chunk) {
  if (streaming_) return RelayEvents(chunk);
  response_.body.append(chunk);
  if (response_.body.size() > kMaxResponseBytes) OnAttemptFailed(Failure::kTruncated);
}

void TrafficRequest::RelayEvents(const std::string& chunk) {
  const uint64_t before = events_.events();
  std::string complete_events = events_.Feed(chunk);
  if (events_.events() == before) return;
  if (!first_event_seen_) OnFirstEvent();
  admitted_.writer->WriteChunk(std::move(complete_events));
}

void TrafficRequest::OnFirstEvent() {
  first_event_seen_ = true;
  ReleasePendingTokens();
  if (!IsPrompt()) return;
  const runtime::Duration elapsed = context_->runtime->clock->Now() - dispatched_at_;
  const uint64_t prefilled_tokens = placement_.uncached_tokens - placement_.fetch_tokens;
  PrefillRate* rate = context_->placer->prefill_rate();
  context_->pool->RecordWait(worker_.get(),
                             runtime::ToMilliseconds(elapsed) - placement_.expected_ms);
  const double excess_ms = runtime::ToMilliseconds(elapsed) - placement_.expected_ms;
  if (!placement_.fetch_endpoint.empty() && excess_ms > kSlowTransferExcessMs) {
    context_->pool->OnSlowTransfer(worker_.get(), placement_.fetch_endpoint);
  }
  context_->stores->RecordFetch(placement_.fetch_endpoint, excess_ms > kDelayedFetchMs);
  context_->runtime->trace->Event(runtime::Severity::kDebug, "FirstEvent",
                                  {{"request_id", admitted_.call.request_id},
                                   {"worker", worker_->backend.id()},
                                   {"elapsed_ms", runtime::ToMilliseconds(elapsed)},
                                   {"expected_ms", placement_.expected_ms}});
  if (placement_.fetch_endpoint.empty()) rate->Record(prefilled_tokens, elapsed);
  RecordCachedPrompt();
}

void TrafficRequest::RecordCachedPrompt() {
  const auto chain = std::find_if(chains_.begin(), chains_.end(), [this](const HashedChain& named) {
    return named.seed.model_revision == revision_;
  });
  invalidation::ObjectVersion version;
  const std::string object = index::HolderObject(index::HolderKind::kWorker, worker_->backend.id());
  if (chain == chains_.end() || !context_->trust->CurrentVersion(object, &version)) return;
  context_->locator->RecordDispatch(chain->seed, chain->blocks, worker_->backend.id(),
                                    version.epoch());
}

void TrafficRequest::OnEnd() {
  if (streaming_) return OnStreamEnd();
  OnResponseComplete();
}

void TrafficRequest::OnStreamEnd() {
  if (!events_.at_event_boundary()) return OnAttemptFailed(Failure::kTruncated);
  context_->pool->OnSuccess(worker_.get());
  admitted_.writer->FinishStream();
  End("ok");
}

void TrafficRequest::OnResponseComplete() {
  const bool worker_failed = response_.status >= kFirstServerError;
  if (worker_failed && MayRetry(Failure::kServerError))
    return OnAttemptFailed(Failure::kServerError);
  // The worker ran it, so its status must not promise that it did not.
  if (GuaranteesNotExecuted(response_.status)) return OnAttemptFailed(Failure::kServerError);
  if (worker_failed) {
    context_->pool->OnFailure(worker_.get(), /*unreachable=*/false);
  } else {
    context_->pool->OnSuccess(worker_.get());
  }
  admitted_.writer->SendResponse(std::move(response_));
  End(worker_failed ? "worker_error" : "ok");
}

void TrafficRequest::OnCallError(const http::CallError& error) {
  switch (error.progress) {
    case http::CallProgress::kNotSent:
      return OnAttemptFailed(Failure::kUnreachable);
    case http::CallProgress::kSent:
      return OnAttemptFailed(Failure::kLost);
    case http::CallProgress::kHeadReceived:
      return OnAttemptFailed(Failure::kTruncated);
  }
}

void TrafficRequest::OnAttemptFailed(Failure failure) {
  last_failure_ = FailureLabel(failure);
  context_->metrics->failures.Increment(last_failure_);
  WorkerPool* pool = context_->pool;
  switch (failure) {
    case Failure::kUnreachable:
      pool->OnFailure(worker_.get(), /*unreachable=*/true);
      break;
    case Failure::kNotExecuted:
    case Failure::kMisdirected:
      pool->OnRejected(worker_.get());
      ++unexecuted_attempts_;
      break;
    default:
      pool->OnFailure(worker_.get(), /*unreachable=*/false);
      ++possible_executions_;
  }
  attempted_workers_.push_back(worker_->backend.id());
  ReleaseWorker();
  events_.DiscardPartial();
  if (MayRetry(failure)) {
    DispatchAttempt();
    return;
  }
  EndUnserved(LocalReplyReason::kFailed, "failed");
}

// Whether another attempt is allowed; `failure` is what ended the running one.
bool TrafficRequest::MayRetry(Failure failure) const {
  if (TimeRemaining() < kMinTimeForRetry) return false;
  if (!context_->switches.retries || (stream_started_ && !context_->switches.resumption)) {
    return false;
  }
  const bool already_counted =
      worker_ == nullptr;  // OnAttemptFailed has counted the running attempt
  const bool may_have_run = failure != Failure::kUnreachable && failure != Failure::kNotExecuted &&
                            failure != Failure::kMisdirected;
  const uint32_t executions = possible_executions_ + (may_have_run && !already_counted ? 1 : 0);
  if (executions > 0 && !IsIdempotent()) return false;
  if (executions >= std::max(1U, admitted_.route.max_attempts())) return false;
  return attempted_workers_.size() < kMaxUnexecutedAttempts + executions;
}

void TrafficRequest::ReleaseWorker() {
  if (worker_ == nullptr) return;
  ReleasePendingTokens();
  context_->pool->OnRequestEnded(worker_.get());
  worker_ = nullptr;
  ++attempt_;  // later callbacks of this call are ignored
  context_->destroy_later(std::move(call_));
}

void TrafficRequest::ReleasePendingTokens() {
  if (!std::exchange(prefill_pending_, false)) return;
  context_->pool->OnPrefillDone(worker_.get(), placement_.uncached_tokens);
}

void TrafficRequest::OnDeadline() {
  if (ended_) return;
  if (worker_ != nullptr) {
    ++possible_executions_;
    ReleaseWorker();
  }
  EndUnserved(LocalReplyReason::kTimeout, "timeout");
}

void TrafficRequest::OnCallerDisconnected() {
  if (ended_) return;
  ReleaseWorker();
  End("gone");
}

void TrafficRequest::Cut() {
  if (ended_) return;
  ReleaseWorker();
  admitted_.writer->Abort();
  End("broken");
}

// Ends without a whole answer: with a cut if some of it has been passed on, with a promise if
// nothing may have run, and with `reason` otherwise.
void TrafficRequest::EndUnserved(LocalReplyReason reason, const char* outcome) {
  if (stream_started_) {
    admitted_.writer->Abort();
    return End("broken");
  }
  if (possible_executions_ > 0)
    return SendLocalReply({reason, runtime::Duration::zero(), ""}, outcome);
  const runtime::Duration retry_after =
      context_->runtime->random->Between(kRetryAfter, kRetryAfter + kRetryAfterSpread);
  SendLocalReply({LocalReplyReason::kUnavailable, retry_after, "no worker may take it now"},
                 "refused");
}

void TrafficRequest::SendLocalReply(const LocalReply& reply, const char* outcome) {
  admitted_.writer->SendResponse(context_->format->MakeLocalReply(reply));
  End(outcome);
}

void TrafficRequest::End(const char* outcome) {
  ReleaseWorker();
  ended_ = true;
  deadline_timer_.Cancel();
  context_->metrics->responses.Increment(outcome);
  TraceEnd(outcome);
  context_->retire(this);
}

}  // namespace posthatch::routing
