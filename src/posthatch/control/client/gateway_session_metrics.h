#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstdint>

#include "posthatch/runtime/clock.h"

namespace posthatch::control {

// Metrics of a gateway's session; each family's help text says what it counts. Does nothing without
// a registry.
class GatewaySessionMetrics {
 public:
  explicit GatewaySessionMetrics(prometheus::Registry* registry);

  void IncrementRenewals() { Increment(renewals_); }
  void IncrementGrants() { Increment(grants_); }
  void IncrementRejections() { Increment(rejections_); }
  void SetConfigurationVersion(uint64_t version);
  void ObserveLeaderGap(runtime::Duration gap);

 private:
  static void Increment(prometheus::Counter* counter) {
    if (counter != nullptr) counter->Increment();
  }

  prometheus::Counter* renewals_ = nullptr;
  prometheus::Counter* grants_ = nullptr;
  prometheus::Counter* rejections_ = nullptr;
  prometheus::Gauge* configuration_version_ = nullptr;
  prometheus::Histogram* leader_gap_seconds_ = nullptr;
};

}  // namespace posthatch::control
