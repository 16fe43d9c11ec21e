#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <string>

#include "absl/container/flat_hash_map.h"

namespace posthatch::util {

// A counter or gauge without labels, in a family of its own. Lives as long as `registry`.
prometheus::Counter& AddCounter(prometheus::Registry* registry, const std::string& name,
                                const std::string& help);
prometheus::Gauge& AddGauge(prometheus::Registry* registry, const std::string& name,
                            const std::string& help);

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

}  // namespace posthatch::util
