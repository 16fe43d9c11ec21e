#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "posthatch/control/control.pb.h"

namespace posthatch::control {

// The difference between two lists of back ends, both sorted by id.
InventoryDelta ComputeDelta(const Inventory& before, const Inventory& after);
// `inventory` with `change` put in force; sorted by id.
void PatchInventory(const InventoryDelta& change, Inventory* inventory);

// What the last changes of the inventory and of the traffic configuration were, so that gateways
// get differences in place of whole sections: a section is many times larger than a change of it,
// and goes to every gateway. In memory of each controller, not replicated; after a restart whole
// sections are sent until changes are known again. Owned by ControlState.
class SectionDeltas {
 public:
  static constexpr size_t kMaxDeltas = 512;

  // The section of `base_index` became that of `index`.
  void RecordInventoryDelta(uint64_t base_index, uint64_t index, const InventoryDelta& change);
  void RecordTrafficDelta(uint64_t base_index, uint64_t index, const TrafficPatch& patch);
  // Replaced as a whole: no difference from anything before is known.
  void ClearTraffic() { traffic_.clear(); }
  void Clear();

  // Replace whole sections of `changed` by what has changed since the receiver's, where that is
  // known.
  void EncodeInventoryDelta(uint64_t acked_index, FleetState* changed) const;
  void EncodeTrafficDelta(uint64_t acked_index, FleetState* changed) const;

 private:
  struct RecordedInventoryDelta {
    uint64_t base_index = 0;
    std::vector<std::string> changed_ids;  // ids of back ends that changed, came or went
  };
  struct RecordedTrafficDelta {
    uint64_t base_index = 0;
    TrafficPatch patch;
  };

  std::deque<RecordedInventoryDelta> inventory_;
  std::deque<RecordedTrafficDelta> traffic_;
};

// The receiver's side: makes the sections whole again from `state`'s. False if a difference is from
// another section than `state` has: nothing can be used.
bool ApplyInventoryDelta(const FleetState& state, FleetState* changed);
bool ApplyTrafficDelta(const FleetState& state, FleetState* changed);

}  // namespace posthatch::control
