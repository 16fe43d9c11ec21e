#include "posthatch/control/state/section_deltas.h"

#include <algorithm>
#include <set>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "posthatch/control/state/fingerprint.h"
#include "posthatch/control/state/inventory_state.h"
#include "posthatch/control/state/traffic_state.h"

namespace posthatch::control {

InventoryDelta ComputeDelta(const Inventory& before, const Inventory& after) {
  InventoryDelta change;
  absl::flat_hash_map<std::string, const Backend*> old;
  for (const Backend& backend : before.backends()) old[backend.id()] = &backend;
  for (const Backend& backend : after.backends()) {
    const auto found = old.find(backend.id());
    const bool same = found != old.end() && SerializeDeterministically(*found->second) ==
                                                SerializeDeterministically(backend);
    if (!same) *change.add_changed() = backend;
    if (found != old.end()) old.erase(found);
  }
  std::set<std::string> removed;
  for (const auto& [id, backend] : old) removed.insert(id);
  for (const std::string& id : removed) change.add_removed(id);
  return change;
}

void PatchInventory(const InventoryDelta& change, Inventory* inventory) {
  absl::flat_hash_set<std::string> replaced(change.removed().begin(), change.removed().end());
  for (const Backend& backend : change.changed()) replaced.insert(backend.id());
  Inventory result;
  for (Backend& backend : *inventory->mutable_backends()) {
    if (!replaced.contains(backend.id())) *result.add_backends() = std::move(backend);
  }
  for (const Backend& backend : change.changed()) *result.add_backends() = backend;
  SortBackends(&result);
  inventory->mutable_backends()->Swap(result.mutable_backends());
}

void SectionDeltas::RecordInventoryDelta(uint64_t base_index, uint64_t /*index*/,
                                         const InventoryDelta& change) {
  RecordedInventoryDelta step{base_index, {change.removed().begin(), change.removed().end()}};
  for (const Backend& backend : change.changed()) step.changed_ids.push_back(backend.id());
  inventory_.push_back(std::move(step));
  if (inventory_.size() > kMaxDeltas) inventory_.pop_front();
}

void SectionDeltas::RecordTrafficDelta(uint64_t base_index, uint64_t /*index*/,
                                       const TrafficPatch& patch) {
  traffic_.push_back({base_index, patch});
  if (traffic_.size() > kMaxDeltas) traffic_.pop_front();
}

void SectionDeltas::Clear() {
  inventory_.clear();
  traffic_.clear();
}

void SectionDeltas::EncodeInventoryDelta(uint64_t acked_index, FleetState* changed) const {
  if (acked_index == 0 || !changed->has_inventory()) return;
  const auto first = std::find_if(
      inventory_.begin(), inventory_.end(),
      [acked_index](const RecordedInventoryDelta& step) { return step.base_index == acked_index; });
  if (first == inventory_.end()) return;
  std::set<std::string> changed_ids;
  for (auto step = first; step != inventory_.end(); ++step) {
    changed_ids.insert(step->changed_ids.begin(), step->changed_ids.end());
  }
  if (changed_ids.size() * 2 > static_cast<size_t>(changed->inventory().backends_size())) return;
  InventoryDelta change;
  change.set_version(changed->inventory().version());
  for (Backend& backend : *changed->mutable_inventory()->mutable_backends()) {
    if (changed_ids.erase(backend.id()) > 0) *change.add_changed() = std::move(backend);
  }
  for (const std::string& id : changed_ids) change.add_removed(id);
  changed->clear_inventory();
  *changed->mutable_inventory_delta() = std::move(change);
  changed->set_inventory_base_index(acked_index);
}

void SectionDeltas::EncodeTrafficDelta(uint64_t acked_index, FleetState* changed) const {
  if (acked_index == 0 || !changed->has_traffic()) return;
  const auto first = std::find_if(
      traffic_.begin(), traffic_.end(),
      [acked_index](const RecordedTrafficDelta& step) { return step.base_index == acked_index; });
  if (first == traffic_.end()) return;
  for (auto step = first; step != traffic_.end(); ++step) {
    *changed->add_traffic_patches() = step->patch;
  }
  changed->clear_traffic();
  changed->set_traffic_base_index(acked_index);
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
