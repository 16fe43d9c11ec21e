#include "posthatch/control/state/section_deltas.h"

#include <algorithm>
#include <set>
#include <utility>

#include "posthatch/control/state/configuration_patch.h"
#include "posthatch/control/state/fleet_sections.h"
#include "posthatch/control/state/inventory_delta.h"
#include "posthatch/control/state/traffic_state.h"

namespace posthatch::control {
namespace {

// The first of the recorded deltas that lead from the section at `base_index` to the current one.
template <typename Deltas>
auto FindBase(const Deltas& deltas, uint64_t base_index) {
  return std::find_if(deltas.begin(), deltas.end(),
                      [base_index](const auto& delta) { return delta.base_index == base_index; });
}

}  // namespace

void SectionDeltas::RecordInventoryDelta(uint64_t base_index, const InventoryDelta& delta) {
  RecordedInventoryDelta recorded{base_index, {delta.removed().begin(), delta.removed().end()}};
  for (const Backend& backend : delta.changed()) recorded.changed_ids.push_back(backend.id());
  inventory_.push_back(std::move(recorded));
  if (inventory_.size() > kMaxDeltas) inventory_.pop_front();
}

void SectionDeltas::RecordTrafficDelta(uint64_t base_index, const TrafficPatch& patch) {
  traffic_.push_back({base_index, patch});
  if (traffic_.size() > kMaxDeltas) traffic_.pop_front();
}

void SectionDeltas::Clear() {
  inventory_.clear();
  traffic_.clear();
}

bool SectionDeltas::EncodeInventoryDelta(uint64_t acked_index, const Inventory& inventory,
                                         FleetState* changed) const {
  if (acked_index == 0) return false;
  const auto first = FindBase(inventory_, acked_index);
  if (first == inventory_.end()) return false;
  std::set<std::string> changed_ids;
  for (auto recorded = first; recorded != inventory_.end(); ++recorded) {
    changed_ids.insert(recorded->changed_ids.begin(), recorded->changed_ids.end());
  }
  if (changed_ids.size() * 2 > static_cast<size_t>(inventory.backends_size())) return false;
  InventoryDelta* delta = changed->mutable_inventory_delta();
  delta->set_version(inventory.version());
  for (const std::string& id : changed_ids) {
    if (const Backend* backend = FindBackend(inventory, id); backend != nullptr) {
      *delta->add_changed() = *backend;
    } else {
      delta->add_removed(id);
    }
  }
  changed->set_inventory_base_index(acked_index);
  return true;
}

bool SectionDeltas::EncodeTrafficDelta(uint64_t acked_index, FleetState* changed) const {
  if (acked_index == 0) return false;
  const auto first = FindBase(traffic_, acked_index);
  if (first == traffic_.end()) return false;
  for (auto recorded = first; recorded != traffic_.end(); ++recorded) {
    *changed->add_traffic_patches() = recorded->patch;
  }
  changed->set_traffic_base_index(acked_index);
  return true;
}

bool EncodeConfigurationDelta(const ConfigurationHistory& history, uint64_t acked_index,
                              const Configuration& newest, FleetState* changed) {
  if (acked_index == 0) return false;
  const ConfigurationVersion* acked = history.FindByLogIndex(acked_index);
  if (acked == nullptr) return false;
  ConfigurationPatch patch = MakePatch(acked->configuration(), newest);
  if (patch.ByteSizeLong() >= newest.ByteSizeLong()) return false;
  *changed->mutable_configuration_patch() = std::move(patch);
  changed->set_patch_base_index(acked_index);
  return true;
}

bool ApplyConfigurationDelta(const FleetState& state, FleetState* changed) {
  if (changed->patch_base_index() == 0) return true;
  if (changed->configuration_index() <= state.configuration_index()) return true;  // not newer
  if (changed->patch_base_index() != state.configuration_index()) return false;
  std::vector<std::string> errors;
  *changed->mutable_configuration() =
      ApplyPatch(state.configuration(), changed->configuration_patch(), &errors);
  return errors.empty();
}

bool ApplyInventoryDelta(const FleetState& state, FleetState* changed) {
  if (changed->inventory_base_index() == 0) return true;
  if (changed->inventory_index() <= state.inventory_index()) return true;  // not newer
  if (changed->inventory_base_index() != state.inventory_index()) return false;
  Inventory inventory = state.inventory();
  PatchInventory(changed->inventory_delta(), &inventory);
  inventory.set_version(changed->inventory_delta().version());
  *changed->mutable_inventory() = std::move(inventory);
  return true;
}

bool ApplyTrafficDelta(const FleetState& state, FleetState* changed) {
  if (changed->traffic_base_index() == 0) return true;
  if (changed->traffic_index() <= state.traffic_index()) return true;  // not newer
  if (changed->traffic_base_index() != state.traffic_index()) return false;
  TrafficConfiguration traffic = state.traffic();
  for (const TrafficPatch& patch : changed->traffic_patches()) {
    traffic = ApplyTrafficPatch(traffic, patch);
    traffic.set_version(patch.upsert().version());
  }
  *changed->mutable_traffic() = std::move(traffic);
  return true;
}

}  // namespace posthatch::control
