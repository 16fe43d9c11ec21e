#include "posthatch/control/server/section_encoder.h"

#include "posthatch/control/state/fingerprint.h"
#include "posthatch/control/state/section_deltas.h"

namespace posthatch::control {
namespace {

// False if the section must be sent complete.
bool EncodeDelta(const ControlState& state, Section section, uint64_t acked_index,
                 FleetState* changed) {
  switch (section) {
    case Section::kConfiguration:
      return EncodeConfigurationDelta(state.history(), acked_index, state.fleet().configuration(),
                                      changed);
    case Section::kInventory:
      return state.deltas().EncodeInventoryDelta(acked_index, state.fleet().inventory(), changed);
    case Section::kTraffic:
      return state.deltas().EncodeTrafficDelta(acked_index, changed);
    case Section::kIsolation:
    case Section::kRevisions:
    case Section::kEvacuations:
    case Section::kLeases:
      return false;
  }
  return false;
}

}  // namespace

void EncodeChangedSections(const ControlState& state, const SectionIndices& acked_versions,
                           FleetState* changed,
                           google::protobuf::RepeatedPtrField<std::string>* changed_sections) {
  for (const Section section : NewerSections(state.fleet(), acked_versions)) {
    changed_sections->Add(std::string(SectionName(section)));
    if (EncodeDelta(state, section, IndexOf(acked_versions, section), changed)) {
      CopySectionVersion(state.fleet(), section, changed);
    } else {
      CopySection(state.fleet(), section, changed);
    }
  }
}

void EncodeRevisionAges(const RevisionTimeline& revisions, runtime::MonotonicTime now,
                        bool carries_revisions, FleetState* changed) {
  const bool any_is_new = now - revisions.newest_set_at() < kRevisionAgesRelevantFor;
  if (any_is_new || carries_revisions) revisions.SaveAges(now, changed->mutable_revision_ages());
}

std::string SectionEncoder::SerializeWithSections(const ControlMessage& message,
                                                  const SectionIndices& acked_versions) {
  // Concatenated protobuf messages are parsed as one, with their message fields merged.
  return SerializeDeterministically(message) +
         EncodeSections({message.has_session_grant(), acked_versions});
}

const std::string& SectionEncoder::EncodeSections(const Key& key) {
  const SectionIndices newest = IndicesOf(state_->fleet());
  if (newest != encoded_versions_ || cached_bytes_ > kMaxCachedBytes) {
    encodings_.clear();
    cached_bytes_ = 0;
    encoded_versions_ = newest;
  }
  const auto [entry, is_new] = encodings_.try_emplace(key);
  if (!is_new) return entry->second;
  ControlMessage message;
  if (key.is_grant) {
    SessionGrant* grant = message.mutable_session_grant();
    EncodeChangedSections(*state_, key.acked_versions, grant->mutable_changed(),
                          grant->mutable_changed_sections());
  } else {
    StatePush* push = message.mutable_state_push();
    EncodeChangedSections(*state_, key.acked_versions, push->mutable_changed(),
                          push->mutable_changed_sections());
  }
  entry->second = SerializeDeterministically(message);
  cached_bytes_ += sizeof(Key) + entry->second.size();
  return entry->second;
}

}  // namespace posthatch::control
