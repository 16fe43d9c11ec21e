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

}  // namespace posthatch::control
