#pragma once

#include "posthatch/gateway/gateway_metrics.h"
#include "prometheus/registry.h"

namespace posthatch::routing {

// Counters of routed traffic; each is documented by the help text it is registered with. The label
// values are those of request_outcome.h. Owned by TrafficGateway; event loop thread only.
struct TrafficMetrics {
  explicit TrafficMetrics(prometheus::Registry* registry)
      : responses(registry, "posthatch_traffic_answers_total",
                  "Requests ended: ok, worker_error, refused, failed, timeout, broken, gone",
                  "outcome"),
        dispatches(registry, "posthatch_traffic_dispatches_total",
                   "Requests sent to workers: first, retry, resume", "kind"),
        failures(registry, "posthatch_traffic_dispatch_failures_total",
                 "Dispatches without a complete response: unreachable, not_executed, misdirected, "
                 "lost, broken, foreign_answer, worker_error, outdated",
                 "cause"),
        prompt_tokens(registry, "posthatch_traffic_prompt_tokens_total",
                      "Tokens of dispatched prompts: asked, believed_missing, fetched", "kind"),
        outdated_prompts(registry, "posthatch_traffic_outdated_prompts_total",
                         "Prompts at workers of an older model revision than the newest set: "
                         "dispatched, began (first event), began_late (past revision_deadline_ms)",
                         "stage"),
        inventory_reads(registry, "posthatch_traffic_inventory_reads_total",
                        "Inventory reads by this gateway, by outcome", "outcome") {}

  gateway::LabeledCounter responses;
  gateway::LabeledCounter dispatches;
  gateway::LabeledCounter failures;
  gateway::LabeledCounter prompt_tokens;
  gateway::LabeledCounter outdated_prompts;
  gateway::LabeledCounter inventory_reads;
};

}  // namespace posthatch::routing
