#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "posthatch/util/metrics.h"

namespace posthatch::gateway {

using util::LabeledCounter;

// The metric families of the gateway. Each counter has one label, named here; the values and their
// meanings are in the help texts. Owned by Gateway; event loop thread only.
struct GatewayMetrics {
  explicit GatewayMetrics(prometheus::Registry* registry);

  LabeledCounter responses;         // code
  LabeledCounter attempts;          // order
  LabeledCounter attempt_failures;  // cause
  LabeledCounter retries_denied;    // cause
  LabeledCounter routes;            // reason
  LabeledCounter stream_breaks;     // cause
  LabeledCounter deliveries;        // outcome
  LabeledCounter slow_starts;       // cause
  LabeledCounter inventory_reads;   // result
  LabeledCounter prompt_blocks;     // source
  prometheus::Counter& ejections;
  prometheus::Counter& stream_pauses;
  prometheus::Gauge& requests_in_flight;
  prometheus::Gauge& backends_eligible;
  prometheus::Histogram& first_byte_seconds;
};

}  // namespace posthatch::gateway
