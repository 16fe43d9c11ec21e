#include "posthatch/control/state/inventory_delta.h"

#include <set>
#include <string>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "posthatch/control/state/fingerprint.h"
#include "posthatch/control/state/inventory_state.h"

namespace posthatch::control {

InventoryDelta ComputeDelta(const Inventory& before, const Inventory& after) {
  InventoryDelta delta;
  absl::flat_hash_map<std::string, const Backend*> previous;
  for (const Backend& backend : before.backends()) previous[backend.id()] = &backend;
  for (const Backend& backend : after.backends()) {
    const auto found = previous.find(backend.id());
    const bool same = found != previous.end() && SerializeDeterministically(*found->second) ==
                                                     SerializeDeterministically(backend);
    if (!same) *delta.add_changed() = backend;
    if (found != previous.end()) previous.erase(found);
  }
  std::set<std::string> removed;
  for (const auto& [id, backend] : previous) removed.insert(id);
  for (const std::string& id : removed) delta.add_removed(id);
  return delta;
}

void PatchInventory(const InventoryDelta& delta, Inventory* inventory) {
  absl::flat_hash_set<std::string> replaced(delta.removed().begin(), delta.removed().end());
  for (const Backend& backend : delta.changed()) replaced.insert(backend.id());
  Inventory result;
  for (Backend& backend : *inventory->mutable_backends()) {
    if (!replaced.contains(backend.id())) *result.add_backends() = std::move(backend);
  }
  for (const Backend& backend : delta.changed()) *result.add_backends() = backend;
  SortBackends(&result);
  inventory->mutable_backends()->Swap(result.mutable_backends());
}

}  // namespace posthatch::control
