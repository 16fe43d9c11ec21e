#include "posthatch/control/state/inventory_state.h"

#include <algorithm>
#include <map>
#include <utility>

#include "absl/strings/str_cat.h"
#include "posthatch/control/state/fingerprint.h"
#include "posthatch/control/state/inventory_delta.h"

namespace posthatch::control {
namespace {

bool IdsAreUnique(const Inventory& sorted) {
  for (int i = 0; i < sorted.backends_size(); ++i) {
    if (sorted.backends(i).id().empty()) return false;
    if (i > 0 && sorted.backends(i).id() == sorted.backends(i - 1).id()) return false;
  }
  return true;
}

}  // namespace

CommandResult InventoryState::Apply(const SetInventory& command, Change* change) {
  CommandResult result;
  Inventory next;
  if (command.has_delta()) {
    if (command.base_version() != inventory_.version()) {
      result.set_code(CommandResult::VERSION_CONFLICT);
      result.set_version(inventory_.version());
      return result;
    }
    next = inventory_;
    PatchInventory(command.delta(), &next);
  } else {
    next = command.inventory();
    SortBackends(&next);
  }
  if (next.backends_size() > kMaxBackends || !IdsAreUnique(next)) {
    result.set_code(CommandResult::INVALID);
    result.add_errors(absl::StrCat("backends: at most ", kMaxBackends, ", each with its own id"));
    return result;
  }
  result.set_code(CommandResult::OK);
  result.set_version(inventory_.version());
  if (SameBackends(next, inventory_)) return result;
  std::map<std::string, bool> draining_before;
  for (const Backend& backend : inventory_.backends()) {
    draining_before[backend.id()] = backend.draining();
  }
  for (const Backend& backend : next.backends()) {
    const auto before = draining_before.find(backend.id());
    if (before == draining_before.end()) change->added.push_back(backend);
    const bool was_draining = before != draining_before.end() && before->second;
    if (backend.draining() && !was_draining) change->drain_started.push_back(backend.id());
  }
  change->changed = true;
  next.set_version(inventory_.version() + 1);
  inventory_ = std::move(next);
  result.set_version(inventory_.version());
  return result;
}

void SortBackends(Inventory* inventory) {
  std::sort(inventory->mutable_backends()->begin(), inventory->mutable_backends()->end(),
            [](const Backend& left, const Backend& right) { return left.id() < right.id(); });
}

bool SameBackends(const Inventory& first, const Inventory& second) {
  if (first.backends_size() != second.backends_size()) return false;
  for (int i = 0; i < first.backends_size(); ++i) {
    if (SerializeDeterministically(first.backends(i)) !=
        SerializeDeterministically(second.backends(i))) {
      return false;
    }
  }
  return true;
}

}  // namespace posthatch::control
