#pragma once

#include <cstdint>
#include <map>
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
                        bool carries_revisions, FleetState* changed);

// Serializes grants and pushes. Gateways that lack the same sections share one encoding of them, so
// that a new leader's work for each of its gateways doesn't grow with what they lack. Owned by
// ControllerService; event loop thread only.
class SectionEncoder {
 public:
  // `state` must outlive this object.
  explicit SectionEncoder(const ControlState* state) : state_(state) {}

  // The serialized `message`, which has a grant or a push without sections, completed by the
  // sections that are newer than `acked_versions`.
  std::string SerializeWithSections(const ControlMessage& message,
                                    const SectionIndices& acked_versions);

 private:
  struct Key {
    bool is_grant;
    SectionIndices acked_versions;
    auto operator<=>(const Key&) const = default;
  };
  // Limit of the cached encodings; all are dropped when they exceed it.
  static constexpr size_t kMaxCachedBytes = size_t{4} * 1024 * 1024;

  // A serialized ControlMessage with the newer sections and nothing else.
  const std::string& EncodeSections(const Key& key);

  const ControlState* const state_;
  SectionIndices encoded_versions_{};  // the sections that the cached encodings lead to
  std::map<Key, std::string> encodings_;
  size_t cached_bytes_ = 0;
};

}  // namespace posthatch::control
