#include "posthatch/control/section_deltas.h"

#include <algorithm>
#include <set>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "posthatch/control/fingerprint.h"
#include "posthatch/control/inventory_state.h"
#include "posthatch/control/traffic_state.h"

namespace posthatch::control {

InventoryChange DifferenceOf(const Inventory& before, const Inventory& after) {
  InventoryChange change;
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

void ApplyInventoryChange(const InventoryChange& change, Inventory* inventory) {
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

void SectionDeltas::NoteInventory(uint64_t before_index, uint64_t /*index*/,
                                  const InventoryChange& change) {
  InventoryStep step{before_index, {change.removed().begin(), change.removed().end()}};
  for (const Backend& backend : change.changed()) step.touched.push_back(backend.id());
  inventory_.push_back(std::move(step));
  if (inventory_.size() > kMaxChanges) inventory_.pop_front();
}

void SectionDeltas::NoteTraffic(uint64_t before_index, uint64_t /*index*/,
                                const TrafficPatch& patch) {
  traffic_.push_back({before_index, patch});
  if (traffic_.size() > kMaxChanges) traffic_.pop_front();
}

void SectionDeltas::Clear() {
  inventory_.clear();
  traffic_.clear();
}

void SectionDeltas::SendInventoryAsChange(uint64_t known_index, FleetState* changed) const {
  if (known_index == 0 || !changed->has_inventory()) return;
  const auto first = std::find_if(
      inventory_.begin(), inventory_.end(),
      [known_index](const InventoryStep& step) { return step.before_index == known_index; });
  if (first == inventory_.end()) return;
  std::set<std::string> touched;
  for (auto step = first; step != inventory_.end(); ++step) {
    touched.insert(step->touched.begin(), step->touched.end());
  }
  if (touched.size() * 2 > static_cast<size_t>(changed->inventory().backends_size())) return;
  InventoryChange change;
  change.set_version(changed->inventory().version());
  for (Backend& backend : *changed->mutable_inventory()->mutable_backends()) {
    if (touched.erase(backend.id()) > 0) *change.add_changed() = std::move(backend);
  }
  for (const std::string& id : touched) change.add_removed(id);
  changed->clear_inventory();
  *changed->mutable_inventory_change() = std::move(change);
  changed->set_inventory_base_index(known_index);
}

void SectionDeltas::SendTrafficAsPatches(uint64_t known_index, FleetState* changed) const {
  if (known_index == 0 || !changed->has_traffic()) return;
  const auto first = std::find_if(
      traffic_.begin(), traffic_.end(),
      [known_index](const TrafficStep& step) { return step.before_index == known_index; });
  if (first == traffic_.end()) return;
  for (auto step = first; step != traffic_.end(); ++step) {
    *changed->add_traffic_patches() = step->patch;
  }
  changed->clear_traffic();
  changed->set_traffic_base_index(known_index);
}

bool MakeInventoryWhole(const FleetState& state, FleetState* changed) {
  if (changed->inventory_base_index() == 0) return true;
  if (changed->inventory_index() <= state.inventory_index()) return true;  // not newer
  if (changed->inventory_base_index() != state.inventory_index()) return false;
  Inventory inventory = state.inventory();
  ApplyInventoryChange(changed->inventory_change(), &inventory);
  inventory.set_version(changed->inventory_change().version());
  *changed->mutable_inventory() = std::move(inventory);
  return true;
}

bool MakeTrafficWhole(const FleetState& state, FleetState* changed) {
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
