#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "posthatch/control/control.pb.h"
#include "posthatch/index/block_hash.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::gateway {

// control.RoutingPolicy with defaults applied.
struct RoutingLimits {
  double retry_ratio = 0.2;
  runtime::Duration request_timeout = std::chrono::seconds(60);
  runtime::Duration slow_start = std::chrono::seconds(10);
  uint32_t max_requests_per_worker = 64;
  uint32_t outlier_consecutive_failures = 3;
  runtime::Duration outlier_ejection = std::chrono::seconds(5);
};

struct ModelEntry {
  size_t block_bytes = 0;  // bytes of canonical prompt text per block
  uint64_t revision = 0;   // newest revision; 0 if there is none yet
};

// Indexes FleetState by name; rebuilt whenever it changes. Event loop thread only.
class FleetLookup {
 public:
  void Rebuild(const control::FleetState& state);

  // Null if the configuration has no such model.
  const ModelEntry* FindModel(const std::string& name) const;
  const control::ServiceRoute* FindService(const std::string& name) const;
  const RoutingLimits& limits() const { return limits_; }

  // The seed for hashes of blocks that `tenant` may create and use under `revision` of `model`. An
  // isolated tenant has a separate domain. All others share one domain, whose generation changes
  // when a tenant enters or leaves it, so that blocks created before become unreachable. A tenant
  // unknown to the state counts as isolated.
  index::BlockSeed SeedFor(const std::string& model, uint64_t revision,
                           const std::string& tenant) const;

 private:
  RoutingLimits limits_;
  absl::flat_hash_map<std::string, ModelEntry> models_;
  absl::flat_hash_map<std::string, control::ServiceRoute> services_;
  absl::flat_hash_map<std::string, control::TenantIsolation> isolation_;
};

}  // namespace posthatch::gateway
