#include "posthatch/gateway/fleet_lookup.h"

#include <algorithm>

namespace posthatch::gateway {
namespace {

RoutingLimits LimitsOf(const control::RoutingPolicy& policy) {
  RoutingLimits limits;
  if (policy.retry_budget_ratio() > 0) limits.retry_ratio = policy.retry_budget_ratio();
  if (policy.request_timeout_ms() > 0) {
    limits.request_timeout = std::chrono::milliseconds(policy.request_timeout_ms());
  }
  if (policy.slow_start_ms() > 0) {
    limits.slow_start = std::chrono::milliseconds(policy.slow_start_ms());
  }
  if (policy.max_requests_per_worker() > 0) {
    limits.max_requests_per_worker = policy.max_requests_per_worker();
  }
  if (policy.outlier_consecutive_failures() > 0) {
    limits.outlier_consecutive_failures = policy.outlier_consecutive_failures();
  }
  if (policy.outlier_ejection_ms() > 0) {
    limits.outlier_ejection = std::chrono::milliseconds(policy.outlier_ejection_ms());
  }
  return limits;
}

}  // namespace

void FleetLookup::Rebuild(const control::FleetState& state) {
  limits_ = LimitsOf(state.configuration().routing());
  models_.clear();
  for (const control::Model& model : state.configuration().models()) {
    models_[model.name()].block_bytes = model.block_tokens() * index::kBytesPerToken;
  }
  for (const control::ModelRevision& revision : state.revisions()) {
    const auto found = models_.find(revision.model());
    if (found == models_.end()) continue;
    found->second.revision = std::max(found->second.revision, revision.revision());
  }
  services_.clear();
  for (const control::ServiceRoute& route : state.configuration().services()) {
    services_[route.name()] = route;
  }
  isolation_.clear();
  for (const control::TenantIsolation& entry : state.isolation()) {
    isolation_[entry.tenant()] = entry;
  }
}

const ModelEntry* FleetLookup::FindModel(const std::string& name) const {
  const auto found = models_.find(name);
  return found == models_.end() ? nullptr : &found->second;
}

const control::ServiceRoute* FleetLookup::FindService(const std::string& name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : &found->second;
}

index::BlockSeed FleetLookup::SeedFor(const std::string& model, uint64_t revision,
                                      const std::string& tenant) const {
  const auto found = isolation_.find(tenant);
  if (found == isolation_.end()) return index::BlockSeed{model, revision, tenant, 0};
  const control::TenantIsolation& domain = found->second;
  return index::BlockSeed{model, revision, domain.isolated() ? tenant : std::string(),
                          domain.generation()};
}

}  // namespace posthatch::gateway
