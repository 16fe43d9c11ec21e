#pragma once

#include <string>

#include "google/protobuf/repeated_ptr_field.h"
#include "posthatch/control/state/control_state.h"
#include "posthatch/control/state/fleet_sections.h"

namespace posthatch::control {

// Fills `changed` and `changed_sections` of a grant or push for a gateway that has acknowledged the
// sections of `acked_versions`: the newer ones, as deltas where the base is known and the delta is
// the smaller message, else complete.
void EncodeChangedSections(const ControlState& state, const SectionIndices& acked_versions,
                           FleetState* changed,
                           google::protobuf::RepeatedPtrField<std::string>* changed_sections);

}  // namespace posthatch::control
