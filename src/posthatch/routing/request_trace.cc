#include "posthatch/routing/request_trace.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace posthatch::routing {
namespace {

// For example "i-7f 12/3 not_executed 1.8 ms, ...": the worker, the connection, the number of the
// call on it, why the dispatch failed, and after what time.
std::string DescribeFailures(const RetryState& retries) {
  const auto describe = [](std::string* text, const FailedDispatch& dispatch) {
    absl::StrAppend(text, dispatch.worker_id, " ", dispatch.connection.connection_id, "/",
                    dispatch.connection.call_number, " ", FailureLabel(dispatch.failure), " ",
                    runtime::ToMilliseconds(dispatch.elapsed), " ms");
  };
  return absl::StrJoin(retries.failed_dispatches(), ", ", describe);
}

}  // namespace

void RequestTrace::Dispatched(uint64_t attempt, const DispatchFields& fields,
                              const PromptShape& shape, const Placement& placement,
                              const http::ConnectionUse& connection) const {
  const Load load = context_->pool->TotalLoad(*placement.worker);
  context_->runtime->trace->Event(
      runtime::Severity::kDebug, "CallDispatched",
      {{"request_id", admitted_->call.request_id},
       {"route", admitted_->route.name()},
       {"worker", fields.instance_id},
       {"attempt", attempt},
       {"connection", connection.connection_id},
       {"call_number", connection.call_number},
       {"revision", fields.expected_revision},
       {"affinity", shape.affinity},
       {"tokens", shape.total_tokens()},
       {"shared_tokens", shape.shared_tokens},
       {"missing_tokens", placement.uncached_tokens},
       {"fetch_tokens", placement.fetch_tokens},
       {"fetch_endpoint", fields.fetch_endpoint},
       {"expected_ms", placement.expected_ms},
       {"in_flight", load.in_flight},
       {"pending_tokens", load.pending_tokens},
       {"read_rate", context_->placer->prefill_rate()->tokens_per_ms()}});
}

void RequestTrace::ResponseHead(uint64_t attempt, const http::Response& head,
                                const ResponseClassification& classification, const Worker& worker,
                                const http::ConnectionUse& connection) const {
  const bool rejected = classification.execution == Execution::kNotExecuted;
  if (classification.matches_request && !rejected) return;
  context_->runtime->trace->Event(runtime::Severity::kDebug, "UnusableResponse",
                                  {{"request_id", admitted_->call.request_id},
                                   {"worker", worker.backend.id()},
                                   {"attempt", attempt},
                                   {"connection", connection.connection_id},
                                   {"call_number", connection.call_number},
                                   {"status", head.status},
                                   {"matches_request", classification.matches_request},
                                   {"has_request_id", classification.has_request_id}});
}

void RequestTrace::FirstEvent(const Placement& placement, runtime::Duration elapsed) const {
  context_->runtime->trace->Event(runtime::Severity::kDebug, "FirstEvent",
                                  {{"request_id", admitted_->call.request_id},
                                   {"worker", placement.worker->backend.id()},
                                   {"elapsed_ms", runtime::ToMilliseconds(elapsed)},
                                   {"expected_ms", placement.expected_ms}});
}

void RequestTrace::OutdatedPromptBegan(const Placement& placement, uint64_t revision,
                                       runtime::Duration elapsed,
                                       runtime::Duration outdated_for) const {
  context_->runtime->trace->Event(runtime::Severity::kWarning, "OutdatedPromptBegan",
                                  {{"request_id", admitted_->call.request_id},
                                   {"worker", placement.worker->backend.id()},
                                   {"revision", revision},
                                   {"elapsed_ms", runtime::ToMilliseconds(elapsed)},
                                   {"outdated_for_ms", runtime::ToMilliseconds(outdated_for)}});
}

void RequestTrace::Ended(RequestOutcome outcome, const RetryState& retries,
                         bool stream_started) const {
  const runtime::MonotonicTime now = context_->runtime->clock->Now();
  context_->runtime->trace->Event(
      runtime::Severity::kDebug, "CallEnded",
      {{"request_id", admitted_->call.request_id},
       {"route", admitted_->route.name()},
       {"outcome", OutcomeLabel(outcome)},
       {"last_failure", retries.last_failure()},
       {"failures", DescribeFailures(retries)},
       {"attempts", static_cast<uint64_t>(retries.attempted_workers().size())},
       {"stream_started", stream_started},
       {"elapsed_ms", runtime::ToMilliseconds(now - admitted_->received_at)}});
  if (outcome != RequestOutcome::kRejected || retries.failed_dispatches().empty()) return;
  context_->runtime->trace->Event(runtime::Severity::kWarning, "RequestRefusedAfterDispatch",
                                  {{"request_id", admitted_->call.request_id},
                                   {"route", admitted_->route.name()},
                                   {"failures", DescribeFailures(retries)}});
}

}  // namespace posthatch::routing
