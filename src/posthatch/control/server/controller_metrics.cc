#include "posthatch/control/server/controller_metrics.h"

namespace posthatch::control {

ControllerMetrics::ControllerMetrics(prometheus::Registry* registry) {
  if (registry == nullptr) {
    unexposed_registry_ = std::make_unique<prometheus::Registry>();
    registry = unexposed_registry_.get();
  }
  sessions_ = &util::AddGauge(registry, "posthatch_controller_sessions",
                              "Gateway sessions at this controller; 0 unless it leads");
  leading_ = &util::AddGauge(registry, "posthatch_controller_leading",
                             "1 while this controller leads and may serve requests, else 0");
  grants_ =
      &util::AddCounter(registry, "posthatch_controller_grants_total", "Session leases granted");
  pushes_ = &util::AddCounter(registry, "posthatch_controller_pushes_total",
                              "Changed sections sent to gateways outside of grants");
  overloaded_ = &util::AddCounter(registry, "posthatch_controller_overloaded_total",
                                  "Proposals and queries rejected because too many were pending");
  grants_denied_no_lease_ =
      &util::AddCounter(registry, "posthatch_controller_grants_withheld_total",
                        "Session renewals not granted because no majority had responded in time");
  in_force_seconds_ =
      &prometheus::BuildHistogram()
           .Name("posthatch_controller_in_force_seconds")
           .Help("Seconds from the commit of a change until it is in force at every session")
           .Register(*registry)
           .Add({}, prometheus::Histogram::BucketBoundaries{0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
                                                            0.5, 1, 2, 4, 8});
  messages_ = std::make_unique<util::LabeledCounter>(
      registry, "posthatch_controller_messages_total",
      "Messages of gateways and controllers that this controller processed, by kind", "message");
  message_seconds_ = std::make_unique<util::LabeledCounter>(
      registry, "posthatch_controller_message_seconds_total",
      "Time that processing these messages took, by kind", "message");
}

}  // namespace posthatch::control
