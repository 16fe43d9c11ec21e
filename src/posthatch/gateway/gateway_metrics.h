#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "posthatch/util/metrics.h"

namespace posthatch::gateway {

using util::LabeledCounter;

// The metric families posthatch_gateway_*. Counters count since the start of the process; a word
// before a colon at the start of a comment is the name of the counter's label. Owned by Gateway;
// event loop thread only.
struct GatewayMetrics {
  explicit GatewayMetrics(prometheus::Registry* registry);

  // code: responses to callers, by ErrorCodeName, or "ok", "broken_stream", "caller_gone".
  LabeledCounter responses;
  // order: dispatches to back ends; "first" of a request, or "retry".
  LabeledCounter attempts;
  // cause: dispatches without a usable response, by AttemptFailure::name.
  LabeledCounter attempt_failures;
  // cause: failed attempts that were not retried: "budget", "attempts" or "deadline".
  LabeledCounter retries_denied;
  // reason: routing decisions: "prefix", "fetch", "load", "round_robin", "shed" or "none".
  LabeledCounter routes;
  // cause: streams that ended incomplete after bytes were sent, by AttemptFailure::name.
  LabeledCounter stream_breaks;
  // outcome: requests for non-idempotent operations: "ok", "replayed" or an ErrorCodeName.
  LabeledCounter deliveries;
  // cause: back ends put into slow start: "seen", "returned" or "epoch".
  LabeledCounter slow_starts;
  // result: reads of the platform's inventory by this gateway.
  LabeledCounter inventory_reads;
  // source: full prompt blocks of completed requests: "asked" in total, "cached" as reported by the
  // worker.
  LabeledCounter prompt_blocks;
  // Back ends ejected as outliers.
  prometheus::Counter& ejections;
  // Times that reading from a worker was stopped because its caller was slow.
  prometheus::Counter& stream_pauses;
  // Admitted requests in progress.
  prometheus::Gauge& requests_in_flight;
  // Back ends in the inventory that are neither draining nor evacuated.
  prometheus::Gauge& backends_eligible;
  // Seconds from receiving a request to the first byte of a valid response.
  prometheus::Histogram& first_byte_seconds;
};

}  // namespace posthatch::gateway
