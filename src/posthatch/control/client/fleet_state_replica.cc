#include "posthatch/control/client/fleet_state_replica.h"

#include <utility>

#include "posthatch/control/state/configuration_validator.h"
#include "posthatch/control/state/fleet_sections.h"
#include "posthatch/control/state/section_deltas.h"

namespace posthatch::control {

FleetStateReplica::UpdateOutcome FleetStateReplica::Apply(
    FleetState changed, const google::protobuf::RepeatedPtrField<std::string>& names) {
  const bool bases_match = ApplyConfigurationDelta(state_, &changed) &&
                           ApplyInventoryDelta(state_, &changed) &&
                           ApplyTrafficDelta(state_, &changed);
  if (!bases_match) return UpdateOutcome::kBaseMismatch;
  const bool new_configuration = changed.configuration_index() > state_.configuration_index();
  if (new_configuration && !ValidateNewConfiguration(changed)) return UpdateOutcome::kRejected;
  const bool any_changed = ApplyNewerSections(changed, names, &state_);
  if (new_configuration) metrics_->SetConfigurationVersion(state_.configuration_version());
  return any_changed ? UpdateOutcome::kChanged : UpdateOutcome::kUnchanged;
}

bool FleetStateReplica::ValidateNewConfiguration(const FleetState& changed) {
  const std::vector<std::string> errors = ValidateConfiguration(changed.configuration());
  rejection_ = errors.empty() ? "" : errors.front();
  if (rejection_.empty()) return true;
  metrics_->IncrementRejections();
  trace_->Event(runtime::Severity::kError, "ConfigurationRejected",
                {{"version", changed.configuration_version()}, {"error", rejection_}});
  return false;
}

void FleetStateReplica::NotifyListeners() {
  for (const FleetView::Listener& listener : listeners_) listener(state_);
}

}  // namespace posthatch::control
