#pragma once

#include "posthatch/control/control.pb.h"

namespace posthatch::control {

// What differs between two inventories that are sorted by id; `version` is left to the caller.
InventoryDelta ComputeDelta(const Inventory& before, const Inventory& after);

// Applies `delta` to the backends of `inventory`, which stay sorted by id. Versions are neither
// checked nor changed.
void PatchInventory(const InventoryDelta& delta, Inventory* inventory);

}  // namespace posthatch::control
