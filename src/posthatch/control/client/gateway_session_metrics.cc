#include "posthatch/control/client/gateway_session_metrics.h"

#include "posthatch/util/metrics.h"

namespace posthatch::control {

GatewaySessionMetrics::GatewaySessionMetrics(prometheus::Registry* registry) {
  if (registry == nullptr) return;
  renewals_ = &util::AddCounter(registry, "posthatch_session_renewals_total",
                                "Session renewals sent to controllers");
  grants_ = &util::AddCounter(registry, "posthatch_session_grants_total",
                              "Session leases received from the leading controller");
  rejections_ = &util::AddCounter(registry, "posthatch_session_rejections_total",
                                  "Configurations that this gateway rejected as invalid (NACK)");
  configuration_version_ = &util::AddGauge(registry, "posthatch_configuration_version",
                                           "Version of the configuration in force at this gateway");
  leader_gap_seconds_ =
      &prometheus::BuildHistogram()
           .Name("posthatch_session_leader_gap_seconds")
           .Help("Seconds between two responses of the leading controller")
           .Register(*registry)
           .Add({}, prometheus::Histogram::BucketBoundaries{0.25, 0.5, 1.25, 2, 3, 4, 8, 16});
}

void GatewaySessionMetrics::ObserveLeaderGap(runtime::Duration gap) {
  if (leader_gap_seconds_ == nullptr) return;
  leader_gap_seconds_->Observe(runtime::ToMilliseconds(gap) / 1000);
}

void GatewaySessionMetrics::SetConfigurationVersion(uint64_t version) {
  if (configuration_version_ != nullptr) {
    configuration_version_->Set(static_cast<double>(version));
  }
}

}  // namespace posthatch::control
