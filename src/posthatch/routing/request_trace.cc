#include "posthatch/routing/request_trace.h"

namespace posthatch::routing {

void RequestTrace::Dispatched(uint64_t attempt, const DispatchFields& fields,
                              const PromptShape& shape, const Placement& placement) const {
  const Load load = context_->pool->TotalLoad(*placement.worker);
  context_->runtime->trace->Event(
      runtime::Severity::kDebug, "CallDispatched",
      {{"request_id", admitted_->call.request_id},
       {"route", admitted_->route.name()},
       {"worker", fields.instance_id},
       {"attempt", attempt},
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
       {"attempts", static_cast<uint64_t>(retries.attempted_workers().size())},
       {"stream_started", stream_started},
       {"elapsed_ms", runtime::ToMilliseconds(now - admitted_->received_at)}});
}

}  // namespace posthatch::routing
