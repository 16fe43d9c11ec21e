#include "posthatch/control/client/gateway_session_metrics.h"

namespace posthatch::control {
namespace {

prometheus::Counter* AddCounter(prometheus::Registry* registry, const char* name,
                                const char* help) {
  return &prometheus::BuildCounter().Name(name).Help(help).Register(*registry).Add({});
}

}  // namespace

GatewaySessionMetrics::GatewaySessionMetrics(prometheus::Registry* registry) {
  if (registry == nullptr) return;
  renewals_ = AddCounter(registry, "posthatch_session_renewals_total",
                         "Session renewals sent to controllers");
  grants_ = AddCounter(registry, "posthatch_session_grants_total",
                       "Session leases received from the leading controller");
  rejections_ = AddCounter(registry, "posthatch_session_rejections_total",
                           "Configurations that this gateway refused to put in force (NACK)");
  configuration_version_ = &prometheus::BuildGauge()
                                .Name("posthatch_configuration_version")
                                .Help("Version of the configuration in force at this gateway")
                                .Register(*registry)
                                .Add({});
}

void GatewaySessionMetrics::SetConfigurationVersion(uint64_t version) {
  if (configuration_version_ != nullptr) {
    configuration_version_->Set(static_cast<double>(version));
  }
}

}  // namespace posthatch::control
