#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "google/protobuf/repeated_ptr_field.h"
#include "posthatch/control/control.pb.h"

// The sections of FleetState, each with the log index of its last change. Grants and pushes carry
// the sections that the receiver doesn't have yet.
namespace posthatch::control {

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

using SectionIndices = std::array<uint64_t, kSectionCount>;

inline uint64_t IndexOf(const SectionIndices& indices, Section section) {
  return indices[static_cast<size_t>(section)];
}

// Name of a section in `changed_sections`.
std::string_view SectionName(Section section);

SectionIndices IndicesOf(const FleetState& state);
SectionIndices IndicesOf(const SessionRenewal& renewal);
void SetIndices(const SectionIndices& indices, SessionRenewal* renewal);
// Zeros if the acknowledgement doesn't name every section.
SectionIndices IndicesOf(const StatePushAck& ack);
void SetIndices(const SectionIndices& indices, StatePushAck* ack);

// The index up to which a holder of these sections knows every change: sections are always sent
// complete up to some log index, so this is the highest of them.
uint64_t HighestIndex(const SectionIndices& indices);

// Copies the sections of `state` that are newer than `known` and adds their names.
void CopyNewerSections(const FleetState& state, const SectionIndices& known, FleetState* changed,
                       google::protobuf::RepeatedPtrField<std::string>* names);

// The lease on a worker, or null. Leases are sorted by worker id (WorkerLeaseTable).
const WorkerLease* FindLease(const FleetState& state, std::string_view worker_id);

// The back end with that id, or null. Inventories are sorted by id (SortBackends).
const Backend* FindBackend(const Inventory& inventory, std::string_view id);

// Puts the named sections of `changed` into `state` where they are newer: a section never goes
// back. Returns true if any was.
bool ApplyNewerSections(const FleetState& changed,
                        const google::protobuf::RepeatedPtrField<std::string>& names,
                        FleetState* state);

}  // namespace posthatch::control
