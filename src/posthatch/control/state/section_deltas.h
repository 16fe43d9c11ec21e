#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "posthatch/control/control.pb.h"
#include "posthatch/control/state/configuration_history.h"

// Deltas of the sections of FleetState. A section is many times larger than a change of it and goes
// to every gateway, so that grants and pushes carry deltas where the receiver's version is known.
namespace posthatch::control {

// The latest changes of the inventory and of the traffic configuration. Kept in the memory of each
// controller and not replicated: after a restart complete sections are sent until changes have been
// recorded again. Owned by ControlState.
class SectionDeltas {
 public:
  // Limit per section; a gateway that lags further behind gets the complete section.
  static constexpr size_t kMaxDeltas = 512;

  // Each delta leads from the section at log index `base_index` to the next recorded one, the last
  // one to the current section.
  void RecordInventoryDelta(uint64_t base_index, const InventoryDelta& delta);
  void RecordTrafficDelta(uint64_t base_index, const TrafficPatch& patch);
  // The traffic configuration was replaced: no delta leads to it.
  void ClearTraffic() { traffic_.clear(); }
  void Clear();

  // Replaces a complete section in `changed` by the delta from `acked_index`, the log index of the
  // receiver's section, if the changes since then are recorded. The inventory stays complete if
  // more than half of its backends changed.
  void EncodeInventoryDelta(uint64_t acked_index, FleetState* changed) const;
  void EncodeTrafficDelta(uint64_t acked_index, FleetState* changed) const;

 private:
  struct RecordedInventoryDelta {
    uint64_t base_index = 0;
    std::vector<std::string> changed_ids;  // backends that were added, changed or removed
  };
  struct RecordedTrafficDelta {
    uint64_t base_index = 0;
    TrafficPatch patch;
  };

  std::deque<RecordedInventoryDelta> inventory_;
  std::deque<RecordedTrafficDelta> traffic_;
};

// Replaces a complete configuration in `changed` by its patch from the version that was accepted at
// log index `acked_index`, if `history` still has that and the patch is smaller.
void EncodeConfigurationDelta(const ConfigurationHistory& history, uint64_t acked_index,
                              FleetState* changed);

// Called by the receiver: replaces a delta in `changed` by the complete section, computed from that
// of `state`. False if the delta has another base than the section of `state`; `changed` can't be
// used then.
bool ApplyConfigurationDelta(const FleetState& state, FleetState* changed);
bool ApplyInventoryDelta(const FleetState& state, FleetState* changed);
bool ApplyTrafficDelta(const FleetState& state, FleetState* changed);

}  // namespace posthatch::control
