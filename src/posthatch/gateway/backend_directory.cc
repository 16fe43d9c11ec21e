#include "posthatch/gateway/backend_directory.h"

#include <algorithm>
#include <cmath>

#include "absl/container/flat_hash_set.h"
#include "posthatch/control/state/selector.h"

namespace posthatch::gateway {
namespace {

// A repeated ejection lasts longer, up to this many times the configured length.
constexpr uint32_t kMaxEjectionFactor = 4;
// How long a back end that refused isn't asked again: one that is full has room soon, one that
// loads weights takes seconds.
constexpr runtime::Duration kOverloadBackoff = std::chrono::milliseconds(250);
constexpr runtime::Duration kRefusalBackoff = std::chrono::seconds(1);
constexpr int kTooManyRequests = 429;
constexpr double kMinSlowStartShare = 0.02;
// An answer may take this long to begin before its back end counts as silent.
constexpr runtime::Duration kHeadGracePeriod = std::chrono::milliseconds(500);
constexpr double kWaitSampleWeight = 0.3;  // of the moving average
// A measured wait counts half after this time.
constexpr double kWaitHalfLifeSeconds = 2.0;

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
    // Running attempts keep the entry of the old place, which gets no new work.
    entry = std::make_shared<BackendEntry>();
    EnterSlowStart(entry.get(), "seen");
  } else if (entry->draining && !draining) {
    EnterSlowStart(entry.get(), "returned");
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
  // Hash maps differ in order from run to run; routing must not.
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

bool BackendDirectory::Eligible(const BackendEntry& entry, uint64_t revision) const {
  if (!entry.in_inventory || entry.draining || entry.evacuated) return false;
  const runtime::MonotonicTime now = runtime_->clock->Now();
  if (now < entry.ejected_until) return false;
  if (entry.refused_revision == revision && now < entry.refused_until) return false;
  return entry.in_flight < Limit(entry);
}

bool BackendDirectory::EligibleForTrial(const BackendEntry& entry) const {
  return entry.in_inventory && !entry.draining && !entry.evacuated && entry.in_flight == 0 &&
         runtime_->clock->Now() >= entry.refused_until;
}

double BackendDirectory::SlowStartShare(const BackendEntry& entry) const {
  const runtime::Duration length = lookup_->limits().slow_start;
  const runtime::Duration elapsed = runtime_->clock->Now() - entry.slow_start_began;
  if (elapsed >= length) return 1.0;
  const double share = static_cast<double>(elapsed.count()) /
                       static_cast<double>(std::max<int64_t>(1, length.count()));
  return std::clamp(share, kMinSlowStartShare, 1.0);
}

uint32_t BackendDirectory::Limit(const BackendEntry& entry) const {
  const uint32_t gateways = options_->LiveGateways();
  const uint32_t full = (lookup_->limits().max_requests_per_worker + gateways - 1) / gateways;
  return std::max<uint32_t>(1, static_cast<uint32_t>(full * SlowStartShare(entry)));
}

runtime::Duration BackendDirectory::UnresponsiveTime(const BackendEntry& entry) const {
  if (entry.awaiting_head == 0) return runtime::Duration::zero();
  const runtime::Duration waiting = runtime_->clock->Now() - entry.awaiting_head_since;
  return std::max(runtime::Duration::zero(), waiting - kHeadGracePeriod);
}

double BackendDirectory::ExpectedWait(const BackendEntry& entry) const {
  if (entry.wait_milliseconds <= 0.0) return 0.0;
  const runtime::Duration age = runtime_->clock->Now() - entry.wait_measured;
  const double half_lives = std::chrono::duration<double>(age).count() / kWaitHalfLifeSeconds;
  return entry.wait_milliseconds * std::exp2(-half_lives);
}

void BackendDirectory::OnWaitMeasured(BackendEntry* entry, double milliseconds) {
  entry->wait_milliseconds = ExpectedWait(*entry) * (1.0 - kWaitSampleWeight) +
                             std::max(0.0, milliseconds) * kWaitSampleWeight;
  entry->wait_measured = runtime_->clock->Now();
}

void BackendDirectory::OnDispatched(BackendEntry* entry, uint64_t pending_blocks) {
  if (entry->awaiting_head == 0) entry->awaiting_head_since = runtime_->clock->Now();
  ++entry->awaiting_head;
  ++entry->in_flight;
  entry->pending_blocks += pending_blocks;
}

void BackendDirectory::OnResponseHead(BackendEntry* entry, uint64_t pending_blocks) {
  --entry->awaiting_head;
  entry->pending_blocks -= pending_blocks;
  entry->awaiting_head_since = runtime_->clock->Now();
}

void BackendDirectory::OnEnded(BackendEntry* entry) { --entry->in_flight; }

void BackendDirectory::OnSuccess(BackendEntry* entry) {
  const bool was_ejected = entry->consecutive_ejections > 0;
  entry->consecutive_failures = 0;
  entry->consecutive_ejections = 0;
  entry->ejected_until = runtime::MonotonicTime();
  if (was_ejected) EnterSlowStart(entry, "returned");
}

void BackendDirectory::OnFailure(BackendEntry* entry, bool unreachable) {
  const runtime::MonotonicTime now = runtime_->clock->Now();
  if (now < entry->ejected_until) return;
  const bool on_trial = entry->consecutive_ejections > 0;
  ++entry->consecutive_failures;
  const bool at_once = on_trial || unreachable;
  if (!at_once && entry->consecutive_failures < lookup_->limits().outlier_consecutive_failures) {
    return;
  }
  entry->consecutive_ejections = std::min(entry->consecutive_ejections + 1, kMaxEjectionFactor);
  entry->ejected_until = now + lookup_->limits().outlier_ejection * entry->consecutive_ejections;
  entry->consecutive_failures = 0;
  metrics_->ejections.Increment();
  // What comes back after the ejection is taken as cold.
  entry->slow_start_began = entry->ejected_until;
}

void BackendDirectory::OnRefused(BackendEntry* entry, uint64_t revision, int status) {
  entry->consecutive_failures = 0;
  entry->refused_revision = revision;
  entry->refused_until =
      runtime_->clock->Now() + (status == kTooManyRequests ? kOverloadBackoff : kRefusalBackoff);
}

void BackendDirectory::OnEpoch(BackendEntry* entry, uint64_t epoch) {
  if (epoch == 0 || epoch == entry->epoch) return;
  if (entry->epoch != 0) EnterSlowStart(entry, "epoch");
  entry->epoch = epoch;
}

void BackendDirectory::EnterSlowStart(BackendEntry* entry, const std::string& cause) {
  entry->slow_start_began = runtime_->clock->Now();
  metrics_->slow_starts.Increment(cause);
}

}  // namespace posthatch::gateway
