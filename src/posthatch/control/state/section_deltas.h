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

  // Adds to `changed` the delta from `acked_index`, the log index of the receiver's section, to the
  // current section. False, with `changed` as it was, if the changes since then aren't recorded, or
  // if more than half of the backends of `inventory`, the current one, changed. The time grows with
  // the changes, not with the section.
  bool EncodeInventoryDelta(uint64_t acked_index, const Inventory& inventory,
                            FleetState* changed) const;
  bool EncodeTrafficDelta(uint64_t acked_index, FleetState* changed) const;

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

// Adds to `changed` the patch to `newest` from the version that was accepted at log index
// `acked_index`. False, with `changed` as it was, if `history` no longer has that, or if the patch
// is as large as `newest`.
bool EncodeConfigurationDelta(const ConfigurationHistory& history, uint64_t acked_index,
                              const Configuration& newest, FleetState* changed);

// Called by the receiver: replaces a delta in `changed` by the complete section, computed from that
// of `state`. False if the delta has another base than the section of `state`; `changed` can't be
// used then.
bool ApplyConfigurationDelta(const FleetState& state, FleetState* changed);
bool ApplyInventoryDelta(const FleetState& state, FleetState* changed);
bool ApplyTrafficDelta(const FleetState& state, FleetState* changed);

}  // namespace posthatch::control
