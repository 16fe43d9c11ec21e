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

// The back ends in the inventory, with the evacuations in force and their health and load. A back
// end is draining if the controllers' inventory or the local reading says so. Event loop thread
// only.
class BackendDirectory {
 public:
  BackendDirectory(runtime::Runtime* runtime, const GatewayOptions* options,
                   const FleetLookup* lookup, GatewayMetrics* metrics)
      : options_(options),
        metrics_(metrics),
        health_(runtime->clock, options, lookup, metrics),
        load_(runtime->clock) {}

  // Applies the inventory and evacuations of `state`, and the draining marks of `local_inventory`,
  // which this gateway has read from the platform (may be null). Back ends that are only in
  // `local_inventory` are added as well.
  void Update(const control::FleetState& state, const control::Inventory* local_inventory);

  // The pool of a model or service; null if there is none.
  BackendPool* WorkerPool(const std::string& model);
  BackendPool* ServicePool(const std::string& service);
  // Null if the back end is not in the inventory.
  BackendPointer Find(const std::string& id) const;

  BackendHealth* health() { return &health_; }
  BackendLoad* load() { return &load_; }

 private:
  // Whether two inventory entries of a back end are equal, ignoring draining marks.
  static bool SameInventoryEntry(const control::Backend& left, const control::Backend& right);
  void AddOrUpdate(const control::Backend& backend, bool draining);
  void MarkEvacuated(const control::FleetState& state);
  void RebuildPools();

  const GatewayOptions* const options_;
  GatewayMetrics* const metrics_;
  BackendHealth health_;
  BackendLoad load_;
  uint64_t evacuations_index_ = 0;  // last applied evacuations_index
  absl::flat_hash_map<std::string, BackendPointer> entries_;
  absl::flat_hash_map<std::string, BackendPool> worker_pools_;
  absl::flat_hash_map<std::string, BackendPool> service_pools_;
};

}  // namespace posthatch::gateway
