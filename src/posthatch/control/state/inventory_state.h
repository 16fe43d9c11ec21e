#pragma once

#include <string>
#include <vector>

#include "posthatch/control/control.pb.h"

namespace posthatch::control {

// The platform's inventory as last accepted. Part of the replicated state; owned by ControlState.
class InventoryState {
 public:
  static constexpr int kMaxBackends = 200000;

  // The changes of one command; ControlState updates the object versions by them.
  struct Change {
    bool changed = false;
    std::vector<Backend> added;              // backends that the previous inventory lacks
    std::vector<std::string> drain_started;  // ids of backends that started draining
  };

  // OK with the version (the same one if nothing changed), VERSION_CONFLICT for a delta from
  // another version, or INVALID.
  CommandResult Apply(const SetInventory& command, Change* change);

  const Inventory& inventory() const { return inventory_; }
  void Restore(const Inventory& inventory) { inventory_ = inventory; }

 private:
  Inventory inventory_;
};

// Sorts by id, so that two inventories with the same content compare equal.
void SortBackends(Inventory* inventory);
// True if both list the same backends; versions are not compared.
bool SameBackends(const Inventory& first, const Inventory& second);

}  // namespace posthatch::control
