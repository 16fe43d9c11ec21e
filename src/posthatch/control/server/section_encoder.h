#pragma once

#include <string>

#include "google/protobuf/repeated_ptr_field.h"
#include "posthatch/control/state/control_state.h"
#include "posthatch/control/state/fleet_sections.h"
#include "posthatch/control/state/revision_timeline.h"

namespace posthatch::control {

// Longer than any deadline of a model revision that is set in practice: the age of one that was
// named longer ago need not be repeated.
inline constexpr runtime::Duration kAgesMatterFor = std::chrono::seconds(60);

// Fills `changed` and `changed_sections` of a grant or push for a gateway that has acknowledged the
// sections of `acked_versions`: the newer ones, as deltas where the base is known and the delta is
// the smaller message, else complete.
void EncodeChangedSections(const ControlState& state, const SectionIndices& acked_versions,
                           FleetState* changed,
                           google::protobuf::RepeatedPtrField<std::string>* changed_sections);

// Adds when the model revisions were named to a grant or push that carries them, or that is sent
// while some of them are so new that their time counts: an earlier message may have come late.
void EncodeRevisionAges(const RevisionTimeline& revisions, runtime::MonotonicTime now,
                        FleetState* changed);

}  // namespace posthatch::control
