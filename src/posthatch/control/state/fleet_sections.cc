#include "posthatch/control/state/fleet_sections.h"

#include <algorithm>

namespace posthatch::control {
namespace {

constexpr std::array<Section, kSectionCount> kSections = {
    Section::kConfiguration, Section::kIsolation, Section::kRevisions, Section::kEvacuations,
    Section::kInventory,     Section::kLeases,    Section::kTraffic};

uint64_t IndexOf(const FleetState& state, Section section) {
  switch (section) {
    case Section::kConfiguration:
      return state.configuration_index();
    case Section::kIsolation:
      return state.isolation_index();
    case Section::kRevisions:
      return state.revisions_index();
    case Section::kEvacuations:
      return state.evacuations_index();
    case Section::kInventory:
      return state.inventory_index();
    case Section::kLeases:
      return state.leases_index();
    case Section::kTraffic:
      return state.traffic_index();
  }
  return 0;
}

}  // namespace

std::string_view SectionName(Section section) {
  switch (section) {
    case Section::kConfiguration:
      return "configuration";
    case Section::kIsolation:
      return "isolation";
    case Section::kRevisions:
      return "revisions";
    case Section::kEvacuations:
      return "evacuations";
    case Section::kInventory:
      return "inventory";
    case Section::kLeases:
      return "leases";
    case Section::kTraffic:
      return "traffic";
  }
  return "";
}

SectionIndices IndicesOf(const FleetState& state) {
  SectionIndices indices;
  for (size_t i = 0; i < kSectionCount; ++i) indices[i] = IndexOf(state, kSections[i]);
  return indices;
}

SectionIndices IndicesOf(const SessionRenewal& renewal) {
  return {renewal.configuration_index(), renewal.isolation_index(), renewal.revisions_index(),
          renewal.evacuations_index(),   renewal.inventory_index(), renewal.leases_index(),
          renewal.traffic_index()};
}

void SetIndices(const SectionIndices& indices, SessionRenewal* renewal) {
  renewal->set_configuration_index(indices[0]);
  renewal->set_isolation_index(indices[1]);
  renewal->set_revisions_index(indices[2]);
  renewal->set_evacuations_index(indices[3]);
  renewal->set_inventory_index(indices[4]);
  renewal->set_leases_index(indices[5]);
  renewal->set_traffic_index(indices[6]);
}

SectionIndices IndicesOf(const StatePushAck& ack) {
  SectionIndices indices{};
  if (ack.section_indices_size() != static_cast<int>(kSectionCount)) return indices;
  std::copy(ack.section_indices().begin(), ack.section_indices().end(), indices.begin());
  return indices;
}

void SetIndices(const SectionIndices& indices, StatePushAck* ack) {
  ack->mutable_section_indices()->Assign(indices.begin(), indices.end());
}

uint64_t HighestIndex(const SectionIndices& indices) {
  return *std::max_element(indices.begin(), indices.end());
}

std::vector<Section> NewerSections(const FleetState& state, const SectionIndices& acked_versions) {
  std::vector<Section> newer;
  for (const Section section : kSections) {
    if (IndexOf(state, section) > IndexOf(acked_versions, section)) newer.push_back(section);
  }
  return newer;
}

void CopySectionVersion(const FleetState& from, Section section, FleetState* to) {
  switch (section) {
    case Section::kConfiguration:
      to->set_configuration_version(from.configuration_version());
      to->set_configuration_index(from.configuration_index());
      break;
    case Section::kIsolation:
      to->set_isolation_index(from.isolation_index());
      break;
    case Section::kRevisions:
      to->set_revisions_index(from.revisions_index());
      break;
    case Section::kEvacuations:
      to->set_evacuations_index(from.evacuations_index());
      break;
    case Section::kInventory:
      to->set_inventory_index(from.inventory_index());
      break;
    case Section::kLeases:
      to->set_leases_index(from.leases_index());
      break;
    case Section::kTraffic:
      to->set_traffic_index(from.traffic_index());
      break;
  }
}

void CopySection(const FleetState& from, Section section, FleetState* to) {
  CopySectionVersion(from, section, to);
  switch (section) {
    case Section::kConfiguration:
      *to->mutable_configuration() = from.configuration();
      break;
    case Section::kIsolation:
      *to->mutable_isolation() = from.isolation();
      break;
    case Section::kRevisions:
      *to->mutable_revisions() = from.revisions();
      break;
    case Section::kEvacuations:
      *to->mutable_evacuations() = from.evacuations();
      break;
    case Section::kInventory:
      *to->mutable_inventory() = from.inventory();
      break;
    case Section::kLeases:
      *to->mutable_leases() = from.leases();
      break;
    case Section::kTraffic:
      *to->mutable_traffic() = from.traffic();
      break;
  }
}

bool ApplyNewerSections(const FleetState& changed,
                        const google::protobuf::RepeatedPtrField<std::string>& names,
                        FleetState* state) {
  bool any_newer = false;
  for (const Section section : kSections) {
    const bool listed = std::find(names.begin(), names.end(), SectionName(section)) != names.end();
    if (!listed || IndexOf(changed, section) <= IndexOf(*state, section)) continue;
    CopySection(changed, section, state);
    any_newer = true;
  }
  return any_newer;
}

const WorkerLease* FindLease(const FleetState& state, std::string_view worker_id) {
  const auto lease = std::lower_bound(
      state.leases().begin(), state.leases().end(), worker_id,
      [](const WorkerLease& entry, std::string_view id) { return entry.worker_id() < id; });
  return lease == state.leases().end() || lease->worker_id() != worker_id ? nullptr : &*lease;
}

const Backend* FindBackend(const Inventory& inventory, std::string_view id) {
  const auto backend = std::lower_bound(
      inventory.backends().begin(), inventory.backends().end(), id,
      [](const Backend& entry, std::string_view wanted) { return entry.id() < wanted; });
  return backend == inventory.backends().end() || backend->id() != id ? nullptr : &*backend;
}

}  // namespace posthatch::control
