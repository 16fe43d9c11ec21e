#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

#include "absl/container/flat_hash_map.h"

namespace posthatch::gateway {

// A counter family with one label; remembers the counter of each value, because a look-up in the
// family locks and sorts labels. The values are a small closed set.
class LabeledCounter {
 public:
  LabeledCounter(prometheus::Registry* registry, const std::string& name, const std::string& help,
                 std::string label);
  void Increment(const std::string& value, double amount = 1.0);
  double Value(const std::string& value) const;

 private:
  prometheus::Family<prometheus::Counter>* const family_;
  const std::string label_;
  absl::flat_hash_map<std::string, prometheus::Counter*> counters_;
};

// The metric families of the data plane; each decision is counted. Owned by Gateway, event loop
// thread only.
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
