#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "posthatch/control/control.pb.h"
#include "posthatch/gateway/backend_entry.h"
#include "posthatch/gateway/backend_health.h"
#include "posthatch/gateway/backend_load.h"
#include "posthatch/gateway/fleet_lookup.h"
#include "posthatch/gateway/gateway_metrics.h"
#include "posthatch/gateway/gateway_options.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::gateway {

// The back ends by the inventory and the evacuations in force, with their health and load. Draining
// marks are the union of the controllers' inventory and this gateway's own reading. Event loop
// thread only.
class BackendDirectory {
 public:
  BackendDirectory(runtime::Runtime* runtime, const GatewayOptions* options,
                   const FleetLookup* lookup, GatewayMetrics* metrics)
      : options_(options),
        metrics_(metrics),
        health_(runtime->clock, options, lookup, metrics),
        load_(runtime->clock) {}

  // Applies the inventory and evacuations of `state`, together with the draining marks of
  // `local_inventory`, this gateway's own reading (may be null). A back end that only
  // `local_inventory` names is added as well.
  void Update(const control::FleetState& state, const control::Inventory* local_inventory);

  // Pools by model and by service; null if there is none.
  BackendPool* WorkerPool(const std::string& model);
  BackendPool* ServicePool(const std::string& service);
  // Null if it is not in the inventory.
  BackendPointer Find(const std::string& id) const;

  BackendHealth* health() { return &health_; }
  BackendLoad* load() { return &load_; }

 private:
  // Whether two inventory entries of a back end are equal, leaving draining marks aside.
  static bool SameInventoryEntry(const control::Backend& left, const control::Backend& right);
  void AddOrUpdate(const control::Backend& backend, bool draining);
  void MarkEvacuated(const control::FleetState& state);
  void RebuildPools();

  const GatewayOptions* const options_;
  GatewayMetrics* const metrics_;
  BackendHealth health_;
  BackendLoad load_;
  uint64_t evacuations_index_ = 0;  // of the evacuations last applied
  absl::flat_hash_map<std::string, BackendPointer> entries_;
  absl::flat_hash_map<std::string, BackendPool> worker_pools_;
  absl::flat_hash_map<std::string, BackendPool> service_pools_;
};

}  // namespace posthatch::gateway
