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
}

void GatewaySessionMetrics::SetConfigurationVersion(uint64_t version) {
  if (configuration_version_ != nullptr) {
    configuration_version_->Set(static_cast<double>(version));
  }
}

}  // namespace posthatch::control
