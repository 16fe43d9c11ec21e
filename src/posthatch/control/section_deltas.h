#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "posthatch/control/control.pb.h"

namespace posthatch::control {

// The difference between two lists of back ends, both sorted by id.
InventoryChange DifferenceOf(const Inventory& before, const Inventory& after);
// `inventory` with `change` put in force; sorted by id.
void ApplyInventoryChange(const InventoryChange& change, Inventory* inventory);

// What the last changes of the inventory and of the traffic configuration were, so that gateways
// get differences in place of whole sections: a section is many times larger than a change of it,
// and goes to every gateway. In memory of each controller, not replicated; after a restart whole
// sections are sent until changes are known again. Owned by ControlState.
class SectionDeltas {
 public:
  static constexpr size_t kMaxChanges = 512;

  // The section of `before_index` became that of `index`.
  void NoteInventory(uint64_t before_index, uint64_t index, const InventoryChange& change);
  void NoteTraffic(uint64_t before_index, uint64_t index, const TrafficPatch& patch);
  // Replaced as a whole: no difference from anything before is known.
  void ForgetTraffic() { traffic_.clear(); }
  void Clear();

  // Replace whole sections of `changed` by what has changed since the receiver's, where that is
  // known.
  void SendInventoryAsChange(uint64_t known_index, FleetState* changed) const;
  void SendTrafficAsPatches(uint64_t known_index, FleetState* changed) const;

 private:
  struct InventoryStep {
    uint64_t before_index = 0;
    std::vector<std::string> touched;  // ids of back ends that changed, came or went
  };
  struct TrafficStep {
    uint64_t before_index = 0;
    TrafficPatch patch;
  };

  std::deque<InventoryStep> inventory_;
  std::deque<TrafficStep> traffic_;
};

// The receiver's side: makes the sections whole again from `state`'s. False if a difference is from
// another section than `state` has: nothing can be used.
bool MakeInventoryWhole(const FleetState& state, FleetState* changed);
bool MakeTrafficWhole(const FleetState& state, FleetState* changed);

}  // namespace posthatch::control
