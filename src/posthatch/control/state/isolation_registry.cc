#include "posthatch/control/state/isolation_registry.h"

#include <algorithm>
#include <set>

#include "posthatch/control/state/selector.h"

namespace posthatch::control {
namespace {

bool IsIsolated(const Tenant& tenant, const Configuration& configuration) {
  const LabelMap labels = TenantLabels(tenant);
  return std::any_of(
      configuration.isolation_rules().begin(), configuration.isolation_rules().end(),
      [&labels](const IsolationRule& rule) { return SelectorMatches(rule.isolated(), labels); });
}

}  // namespace

std::vector<IsolationRegistry::TenantStatus> IsolationRegistry::EvaluateTenants(
    const Configuration& configuration) {
  std::vector<TenantStatus> tenants;
  for (const Tenant& tenant : configuration.tenants()) {
    tenants.push_back({tenant.name(), IsIsolated(tenant, configuration)});
  }
  return tenants;
}

std::vector<std::string> IsolationRegistry::Update(uint64_t log_index,
                                                   const std::vector<TenantStatus>& tenants) {
  std::set<std::string> changed;
  bool shared_changed = shared_generation_ == 0;
  std::set<std::string> present;
  for (const auto& [name, isolated] : tenants) {
    present.insert(name);
    const auto [entry, is_new] = tenants_.try_emplace(name);
    Domain& domain = entry->second;
    const bool isolation_changed = !is_new && domain.isolated != isolated;
    if (is_new || isolation_changed || (domain.removed && isolated)) {
      domain.generation = log_index;
      changed.insert(name);
    }
    shared_changed = shared_changed || isolation_changed;
    domain.isolated = isolated;
    domain.removed = false;
  }
  for (auto& [name, domain] : tenants_) domain.removed = !present.contains(name);
  if (shared_changed) {
    shared_generation_ = log_index;
    changed.insert("");
    for (const auto& [name, domain] : tenants_) {
      if (!domain.isolated) changed.insert(name);
    }
  }
  return {changed.begin(), changed.end()};
}

void IsolationRegistry::Save(google::protobuf::RepeatedPtrField<TenantIsolation>* isolation) const {
  if (shared_generation_ == 0) return;
  isolation->Add()->set_generation(shared_generation_);
  for (const auto& [name, domain] : tenants_) {
    TenantIsolation* saved = isolation->Add();
    saved->set_tenant(name);
    saved->set_isolated(domain.isolated);
    saved->set_generation(domain.isolated ? domain.generation : shared_generation_);
    saved->set_removed(domain.removed);
  }
}

void IsolationRegistry::Restore(
    const google::protobuf::RepeatedPtrField<TenantIsolation>& isolation) {
  tenants_.clear();
  shared_generation_ = 0;
  for (const TenantIsolation& saved : isolation) {
    if (saved.tenant().empty()) {
      shared_generation_ = saved.generation();
      continue;
    }
    tenants_[saved.tenant()] = {saved.isolated(), saved.removed(), saved.generation()};
  }
}

}  // namespace posthatch::control
