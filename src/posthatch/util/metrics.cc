#include "posthatch/util/metrics.h"

#include <utility>

namespace posthatch::util {

prometheus::Counter& AddCounter(prometheus::Registry* registry, const std::string& name,
                                const std::string& help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(*registry).Add({});
}

prometheus::Gauge& AddGauge(prometheus::Registry* registry, const std::string& name,
                            const std::string& help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(*registry).Add({});
}

LabeledCounter::LabeledCounter(prometheus::Registry* registry, const std::string& name,
                               const std::string& help, std::string label)
    : family_(&prometheus::BuildCounter().Name(name).Help(help).Register(*registry)),
      label_(std::move(label)) {}

void LabeledCounter::Increment(const std::string& value, double amount) {
  prometheus::Counter*& counter = counters_[value];
  if (counter == nullptr) counter = &family_->Add({{label_, value}});
  counter->Increment(amount);
}

double LabeledCounter::Value(const std::string& value) const {
  const auto found = counters_.find(value);
  return found == counters_.end() ? 0.0 : found->second->Value();
}

}  // namespace posthatch::util
