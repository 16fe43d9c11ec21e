#pragma once

#include <string>

#include "google/protobuf/repeated_ptr_field.h"
#include "posthatch/control/state/control_state.h"
#include "posthatch/control/state/fleet_sections.h"
#include "posthatch/control/state/revision_timeline.h"

namespace posthatch::control {

// How long the age of a new model revision is sent repeatedly. Longer than any roll-out deadline
// set in practice, so the ages of older revisions needn't be repeated.
inline constexpr runtime::Duration kRevisionAgesRelevantFor = std::chrono::seconds(60);

// Fills `changed` and `changed_sections` of a grant or push for a gateway that has acknowledged the
// sections of `acked_versions`: the newer sections, as deltas where the base is known and the delta
// is the smaller message, else complete.
void EncodeChangedSections(const ControlState& state, const SectionIndices& acked_versions,
                           FleetState* changed,
                           google::protobuf::RepeatedPtrField<std::string>* changed_sections);

// Adds the ages of the model revisions to a grant or push that carries revisions, or that is sent
// while the newest one is younger than kRevisionAgesRelevantFor: an earlier message with its age
// may have arrived late.
void EncodeRevisionAges(const RevisionTimeline& revisions, runtime::MonotonicTime now,
                        FleetState* changed);

}  // namespace posthatch::control
