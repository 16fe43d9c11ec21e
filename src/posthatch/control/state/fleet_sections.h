#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "google/protobuf/repeated_ptr_field.h"
#include "posthatch/control/control.pb.h"

// The sections of FleetState, each with the log index of its last change as its version. Grants and
// pushes carry the sections that are newer than the receiver's.
namespace posthatch::control {

// The order, which must not change, is that of SectionIndices and of StatePushAck.section_indices.
enum class Section {
  kConfiguration,
  kIsolation,
  kRevisions,
  kEvacuations,
  kInventory,
  kLeases,
  kTraffic,
};
inline constexpr size_t kSectionCount = 7;

// Versions of all sections, in the order of Section; 0 for one that was never set.
using SectionIndices = std::array<uint64_t, kSectionCount>;

// `inventory_age_ms` of a leader that hasn't read the platform's inventory in its term.
inline constexpr uint32_t kInventoryNeverRead = UINT32_MAX;

inline uint64_t IndexOf(const SectionIndices& indices, Section section) {
  return indices[static_cast<size_t>(section)];
}

// Name of a section in `changed_sections`.
std::string_view SectionName(Section section);

SectionIndices IndicesOf(const FleetState& state);
SectionIndices IndicesOf(const SessionRenewal& renewal);
void SetIndices(const SectionIndices& indices, SessionRenewal* renewal);
// Zeros if the acknowledgement doesn't have an index for every section.
SectionIndices IndicesOf(const StatePushAck& ack);
void SetIndices(const SectionIndices& indices, StatePushAck* ack);

// The log index up to which a replica with these section versions has every change: all changed
// sections are sent together, as of one log index, so this is the highest of them.
uint64_t HighestIndex(const SectionIndices& indices);

// The sections of `state` that are newer than `acked_versions`.
std::vector<Section> NewerSections(const FleetState& state, const SectionIndices& acked_versions);

// Copies a section with its version, or its version alone.
void CopySection(const FleetState& from, Section section, FleetState* to);
void CopySectionVersion(const FleetState& from, Section section, FleetState* to);

// Copies the sections `names` of `changed` to `state` where they are newer. True if any was newer.
bool ApplyNewerSections(const FleetState& changed,
                        const google::protobuf::RepeatedPtrField<std::string>& names,
                        FleetState* state);

// The lease on a worker, or null. Leases are sorted by worker id (WorkerLeaseTable).
const WorkerLease* FindLease(const FleetState& state, std::string_view worker_id);

// The backend with that id, or null. Inventories are sorted by id (SortBackends).
const Backend* FindBackend(const Inventory& inventory, std::string_view id);

}  // namespace posthatch::control
