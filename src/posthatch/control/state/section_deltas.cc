#include "posthatch/control/state/section_deltas.h"

#include <algorithm>
#include <set>
#include <utility>

#include "posthatch/control/state/configuration_patch.h"
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

void SectionDeltas::EncodeInventoryDelta(uint64_t acked_index, FleetState* changed) const {
  if (acked_index == 0 || !changed->has_inventory()) return;
  const auto first = FindBase(inventory_, acked_index);
  if (first == inventory_.end()) return;
  std::set<std::string> changed_ids;
  for (auto recorded = first; recorded != inventory_.end(); ++recorded) {
    changed_ids.insert(recorded->changed_ids.begin(), recorded->changed_ids.end());
  }
  const auto backend_count = static_cast<size_t>(changed->inventory().backends_size());
  if (changed_ids.size() * 2 > backend_count) return;
  InventoryDelta delta;
  delta.set_version(changed->inventory().version());
  for (Backend& backend : *changed->mutable_inventory()->mutable_backends()) {
    if (changed_ids.erase(backend.id()) > 0) *delta.add_changed() = std::move(backend);
  }
  for (const std::string& id : changed_ids) delta.add_removed(id);
  changed->clear_inventory();
  *changed->mutable_inventory_delta() = std::move(delta);
  changed->set_inventory_base_index(acked_index);
}

void SectionDeltas::EncodeTrafficDelta(uint64_t acked_index, FleetState* changed) const {
  if (acked_index == 0 || !changed->has_traffic()) return;
  const auto first = FindBase(traffic_, acked_index);
  if (first == traffic_.end()) return;
  for (auto recorded = first; recorded != traffic_.end(); ++recorded) {
    *changed->add_traffic_patches() = recorded->patch;
  }
  changed->clear_traffic();
  changed->set_traffic_base_index(acked_index);
}

void EncodeConfigurationDelta(const ConfigurationHistory& history, uint64_t acked_index,
                              FleetState* changed) {
  if (acked_index == 0 || !changed->has_configuration()) return;
  const ConfigurationVersion* acked = history.FindByLogIndex(acked_index);
  if (acked == nullptr) return;
  ConfigurationPatch patch = MakePatch(acked->configuration(), changed->configuration());
  if (patch.ByteSizeLong() >= changed->configuration().ByteSizeLong()) return;
  changed->clear_configuration();
  *changed->mutable_configuration_patch() = std::move(patch);
  changed->set_patch_base_index(acked_index);
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
