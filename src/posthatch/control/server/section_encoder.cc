#include "posthatch/control/server/section_encoder.h"

namespace posthatch::control {

void EncodeChangedSections(const ControlState& state, const SectionIndices& acked_versions,
                           FleetState* changed,
                           google::protobuf::RepeatedPtrField<std::string>* changed_sections) {
  CopyNewerSections(state.fleet(), acked_versions, changed, changed_sections);
  EncodeConfigurationDelta(state.history(), IndexOf(acked_versions, Section::kConfiguration),
                           changed);
  state.deltas().EncodeInventoryDelta(IndexOf(acked_versions, Section::kInventory), changed);
  state.deltas().EncodeTrafficDelta(IndexOf(acked_versions, Section::kTraffic), changed);
}

void EncodeRevisionAges(const RevisionTimeline& revisions, runtime::MonotonicTime now,
                        FleetState* changed) {
  const bool any_is_new = now - revisions.newest_set_at() < kRevisionAgesRelevantFor;
  if (any_is_new || !changed->revisions().empty()) {
    revisions.SaveAges(now, changed->mutable_revision_ages());
  }
}

}  // namespace posthatch::control
