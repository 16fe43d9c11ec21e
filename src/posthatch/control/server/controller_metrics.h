#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>

#include "posthatch/util/metrics.h"

namespace posthatch::control {

// Metrics of a ControllerService; each family's help text says what it counts.
class ControllerMetrics {
 public:
  // With a null registry the metrics are counted but not exposed.
  explicit ControllerMetrics(prometheus::Registry* registry);

  prometheus::Gauge& sessions() { return *sessions_; }
  prometheus::Gauge& leading() { return *leading_; }
  prometheus::Counter& grants() { return *grants_; }
  prometheus::Counter& pushes() { return *pushes_; }
  prometheus::Counter& overloaded() { return *overloaded_; }
  prometheus::Counter& grants_denied_no_lease() { return *grants_denied_no_lease_; }
  prometheus::Histogram& in_force_seconds() { return *in_force_seconds_; }
  // Labelled by the field name of the message in ControlMessage.
  util::LabeledCounter& messages() { return *messages_; }
  util::LabeledCounter& message_seconds() { return *message_seconds_; }

 private:
  std::unique_ptr<prometheus::Registry> unexposed_registry_;
  prometheus::Gauge* sessions_;
  prometheus::Gauge* leading_;
  prometheus::Counter* grants_;
  prometheus::Counter* pushes_;
  prometheus::Counter* overloaded_;
  prometheus::Counter* grants_denied_no_lease_;
  prometheus::Histogram* in_force_seconds_;
  std::unique_ptr<util::LabeledCounter> messages_;
  std::unique_ptr<util::LabeledCounter> message_seconds_;
};

}  // namespace posthatch::control
