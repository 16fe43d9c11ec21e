#include "posthatch/gateway/gateway_metrics.h"

namespace posthatch::gateway {

using util::AddCounter;
using util::AddGauge;

GatewayMetrics::GatewayMetrics(prometheus::Registry* registry)
    : responses(registry, "posthatch_gateway_answers_total",
                "Answers to callers by error code of docs/API.md, or \"ok\".", "code"),
      attempts(registry, "posthatch_gateway_attempts_total",
               "Dispatches to back ends: \"first\" of a request, or \"retry\".", "order"),
      attempt_failures(registry, "posthatch_gateway_attempt_failures_total",
                       "Dispatches that brought no usable answer, by cause.", "cause"),
      retries_denied(registry, "posthatch_gateway_retries_denied_total",
                     "Failed attempts that were not repeated, by what forbade it.", "cause"),
      routes(registry, "posthatch_gateway_routes_total",
             "Routing decisions by what decided: \"prefix\", \"fetch\", \"load\", "
             "\"round_robin\" or \"none\".",
             "reason"),
      stream_breaks(registry, "posthatch_gateway_stream_breaks_total",
                    "Streams that ended with an error event after bytes went out, by cause.",
                    "cause"),
      deliveries(registry, "posthatch_gateway_deliveries_total",
                 "Non-repeatable operations by how their send ended.", "outcome"),
      slow_starts(registry, "posthatch_gateway_slow_starts_total",
                  "Back ends put into slow start, by cause: \"seen\", \"returned\", \"epoch\".",
                  "cause"),
      inventory_reads(registry, "posthatch_gateway_inventory_reads_total",
                      "This gateway's own reads of the platform's list, by result.", "result"),
      prompt_blocks(registry, "posthatch_gateway_prompt_blocks_total",
                    "Full prompt blocks of answered requests: \"asked\" in all, \"cached\" by "
                    "what the worker reported.",
                    "source"),
      ejections(AddCounter(registry, "posthatch_gateway_ejections_total",
                           "Back ends ejected after consecutive failures.")),
      stream_pauses(AddCounter(registry, "posthatch_gateway_stream_pauses_total",
                               "Times a worker was no longer read because its caller was slow.")),
      requests_in_flight(AddGauge(registry, "posthatch_gateway_requests_in_flight",
                                  "Admitted requests that have not ended.")),
      backends_eligible(AddGauge(registry, "posthatch_gateway_backends_eligible",
                                 "Back ends on the list that are neither draining nor evacuated.")),
      first_byte_seconds(
          prometheus::BuildHistogram()
              .Name("posthatch_gateway_first_byte_seconds")
              .Help("From taking a request to the first byte of a good answer, in seconds.")
              .Register(*registry)
              .Add({},
                   prometheus::Histogram::BucketBoundaries{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05,
                                                           0.1, 0.25, 0.52, 1, 2.5, 5, 10, 30})) {}

}  // namespace posthatch::gateway
