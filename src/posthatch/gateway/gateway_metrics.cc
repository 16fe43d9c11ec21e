#include "posthatch/gateway/gateway_metrics.h"

namespace posthatch::gateway {

using util::AddCounter;
using util::AddGauge;

GatewayMetrics::GatewayMetrics(prometheus::Registry* registry)
    : responses(registry, "posthatch_gateway_answers_total",
                "Responses to callers by error code of docs/API.md, or \"ok\".", "code"),
      attempts(registry, "posthatch_gateway_attempts_total",
               "Dispatches to back ends: \"first\" of a request, or \"retry\".", "order"),
      attempt_failures(registry, "posthatch_gateway_attempt_failures_total",
                       "Dispatches without a usable response, by cause.", "cause"),
      retries_denied(registry, "posthatch_gateway_retries_denied_total",
                     "Failed attempts that were not retried, by cause.", "cause"),
      routes(registry, "posthatch_gateway_routes_total",
             "Routing decisions by reason: \"prefix\", \"fetch\", \"load\", "
             "\"round_robin\", \"shed\" or \"none\".",
             "reason"),
      stream_breaks(registry, "posthatch_gateway_stream_breaks_total",
                    "Streams that ended with an error event after bytes were sent, by cause.",
                    "cause"),
      deliveries(registry, "posthatch_gateway_deliveries_total",
                 "Requests for non-idempotent operations, by outcome.", "outcome"),
      slow_starts(registry, "posthatch_gateway_slow_starts_total",
                  "Back ends put into slow start, by cause: \"seen\", \"returned\", \"epoch\".",
                  "cause"),
      inventory_reads(registry, "posthatch_gateway_inventory_reads_total",
                      "Reads of the platform's inventory by this gateway, by result.", "result"),
      prompt_blocks(registry, "posthatch_gateway_prompt_blocks_total",
                    "Full prompt blocks of completed requests: \"asked\" in total, "
                    "\"cached\" as reported by the worker.",
                    "source"),
      ejections(AddCounter(registry, "posthatch_gateway_ejections_total",
                           "Back ends ejected after consecutive failures.")),
      stream_pauses(
          AddCounter(registry, "posthatch_gateway_stream_pauses_total",
                     "Times that reading from a worker was stopped because its caller was slow.")),
      requests_in_flight(AddGauge(registry, "posthatch_gateway_requests_in_flight",
                                  "Admitted requests that have not ended.")),
      backends_eligible(
          AddGauge(registry, "posthatch_gateway_backends_eligible",
                   "Back ends in the inventory that are neither draining nor evacuated.")),
      first_byte_seconds(
          prometheus::BuildHistogram()
              .Name("posthatch_gateway_first_byte_seconds")
              .Help("Seconds from receiving a request to the first byte of a valid response.")
              .Register(*registry)
              .Add({},
                   prometheus::Histogram::BucketBoundaries{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05,
                                                           0.1, 0.25, 0.52, 1, 2.5, 5, 10, 30})) {}

}  // namespace posthatch::gateway
