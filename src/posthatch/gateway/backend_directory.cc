#include "posthatch/gateway/backend_directory.h"

#include <algorithm>
#include <cmath>

#include "absl/container/flat_hash_set.h"
#include "posthatch/control/state/selector.h"

namespace posthatch::gateway {
namespace {

BackendPool* FindPool(absl::flat_hash_map<std::string, BackendPool>* pools,
                      const std::string& name) {
  const auto found = pools->find(name);
  return found == pools->end() ? nullptr : &found->second;
}

}  // namespace

void BackendDirectory::Update(const control::FleetState& state,
                              const control::Inventory* local_inventory) {
  absl::flat_hash_set<std::string> locally_draining;
  if (local_inventory != nullptr) {
    for (const control::Backend& backend : local_inventory->backends()) {
      if (backend.draining()) locally_draining.insert(backend.id());
    }
  }
  for (auto& [id, entry] : entries_) entry->in_inventory = false;
  for (const control::Backend& backend : state.inventory().backends()) {
    AddOrUpdate(backend, backend.draining() || locally_draining.contains(backend.id()));
  }
  if (local_inventory != nullptr) {
    for (const control::Backend& backend : local_inventory->backends()) {
      const BackendPointer known = Find(backend.id());
      if (known == nullptr || !known->in_inventory) AddOrUpdate(backend, backend.draining());
    }
  }
  absl::erase_if(entries_, [](const auto& item) { return !item.second->in_inventory; });
  MarkEvacuated(state);
  RebuildPools();
}

void BackendDirectory::AddOrUpdate(const control::Backend& backend, bool draining) {
  BackendPointer& entry = entries_[backend.id()];
  const bool moved = entry != nullptr && entry->backend.endpoint() != backend.endpoint();
  if (entry == nullptr || moved) {
    // Attempts in progress keep the entry of the former endpoint, which gets no new requests.
    entry = std::make_shared<BackendEntry>();
    health_.EnterSlowStart(entry.get(), "seen");
  } else if (entry->draining && !draining) {
    health_.EnterSlowStart(entry.get(), "returned");
  }
  entry->in_inventory = true;
  if (!SameInventoryEntry(entry->backend, backend)) {
    entry->backend = backend;
    entry->labels_changed = true;
  }
  entry->draining = draining;
}

bool BackendDirectory::SameInventoryEntry(const control::Backend& left,
                                          const control::Backend& right) {
  return left.id() == right.id() && left.kind() == right.kind() &&
         left.endpoint() == right.endpoint() && left.zone() == right.zone() &&
         left.model() == right.model() && left.service() == right.service() &&
         std::equal(left.labels().begin(), left.labels().end(), right.labels().begin(),
                    right.labels().end(), [](const auto& one, const auto& other) {
                      return one.first == other.first && one.second == other.second;
                    });
}

void BackendDirectory::MarkEvacuated(const control::FleetState& state) {
  const bool all = evacuations_index_ != state.evacuations_index();
  evacuations_index_ = state.evacuations_index();
  for (auto& [id, entry] : entries_) {
    if (!all && !entry->labels_changed) continue;
    entry->labels_changed = false;
    const control::LabelMap labels = control::BackendLabels(entry->backend);
    entry->evacuated = std::any_of(state.evacuations().begin(), state.evacuations().end(),
                                   [&labels](const auto& evacuation) {
                                     return control::SelectorMatches(evacuation.selector(), labels);
                                   });
  }
}

void BackendDirectory::RebuildPools() {
  worker_pools_.clear();
  service_pools_.clear();
  size_t eligible = 0;
  for (const auto& [id, entry] : entries_) {
    if (entry->draining || entry->evacuated) continue;
    const control::Backend& backend = entry->backend;
    if (backend.kind() == control::BACKEND_KIND_STORE) continue;
    const bool worker = backend.kind() == control::BACKEND_KIND_WORKER;
    BackendPool& pool = worker ? worker_pools_[backend.model()] : service_pools_[backend.service()];
    pool.all.push_back(entry);
    if (backend.zone() == options_->zone) pool.local.push_back(entry);
    ++eligible;
  }
  // Hash map order differs between runs; routing must be deterministic by seed.
  const auto by_id = [](const BackendPointer& left, const BackendPointer& right) {
    return left->backend.id() < right->backend.id();
  };
  for (auto* pools : {&worker_pools_, &service_pools_}) {
    for (auto& [name, pool] : *pools) {
      std::sort(pool.all.begin(), pool.all.end(), by_id);
      std::sort(pool.local.begin(), pool.local.end(), by_id);
    }
  }
  metrics_->backends_eligible.Set(static_cast<double>(eligible));
}

BackendPool* BackendDirectory::WorkerPool(const std::string& model) {
  return FindPool(&worker_pools_, model);
}

BackendPool* BackendDirectory::ServicePool(const std::string& service) {
  return FindPool(&service_pools_, service);
}

BackendPointer BackendDirectory::Find(const std::string& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : found->second;
}

}  // namespace posthatch::gateway
