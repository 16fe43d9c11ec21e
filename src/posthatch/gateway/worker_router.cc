#include "posthatch/gateway/worker_router.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "posthatch/gateway/admission_control.h"

namespace posthatch::gateway {
namespace {

constexpr size_t kMaxHolderCandidates = 4;
constexpr int kMaxSamples = 8;
// Above this fraction of its limit, a local back end is compared with those of other zones.
constexpr double kLocalLoadLimit = 0.5;
// Milliseconds by which one running request delays the first token of the next request.
constexpr double kRunningRequestCostMs = 3.0;

bool Contains(const std::vector<std::string>& list, const std::string& id) {
  return std::find(list.begin(), list.end(), id) != list.end();
}

}  // namespace

double WorkerRouter::RelativeLoad(const BackendEntry& entry) const {
  const double unresponsive_seconds =
      std::chrono::duration<double>(directory_->load()->UnresponsiveTime(entry)).count();
  return (entry.in_flight + 1.0) / directory_->health()->Limit(entry) *
         (1.0 + unresponsive_seconds);
}

BackendPointer WorkerRouter::NextRoundRobin(BackendPool* pool, uint64_t revision,
                                            const std::vector<std::string>& attempted_backends) {
  for (size_t step = 0; step < pool->all.size(); ++step) {
    const BackendPointer& entry = pool->all[pool->round_robin_next++ % pool->all.size()];
    if (!directory_->health()->Eligible(*entry, revision) ||
        Contains(attempted_backends, entry->backend.id()))
      continue;
    return entry;
  }
  return nullptr;
}

BackendPointer WorkerRouter::SampleEligible(const std::vector<BackendPointer>& from,
                                            uint64_t revision,
                                            const std::vector<std::string>& attempted_backends,
                                            const BackendEntry* excluded) {
  if (from.empty()) return nullptr;
  for (int draw = 0; draw < kMaxSamples; ++draw) {
    const BackendPointer& entry = from[runtime_->random->Uniform(from.size())];
    if (entry.get() == excluded || Contains(attempted_backends, entry->backend.id())) continue;
    if (!directory_->health()->Eligible(*entry, revision)) continue;
    const double share = directory_->health()->SlowStartShare(*entry);
    if (share >= 1.0 || runtime_->random->Chance(share)) return entry;
  }
  return nullptr;
}

BackendPointer WorkerRouter::PowerOfTwoChoices(const std::vector<BackendPointer>& from,
                                               uint64_t revision,
                                               const std::vector<std::string>& attempted_backends) {
  BackendPointer first = SampleEligible(from, revision, attempted_backends, nullptr);
  if (first == nullptr) return nullptr;
  BackendPointer second = SampleEligible(from, revision, attempted_backends, first.get());
  if (second == nullptr) return first;
  return RelativeLoad(*second) < RelativeLoad(*first) ? second : first;
}

BackendPointer WorkerRouter::SearchAll(const BackendPool& pool, uint64_t revision,
                                       const std::vector<std::string>& attempted_backends) {
  BackendPointer best;
  for (const BackendPointer& entry : pool.all) {
    if (!directory_->health()->Eligible(*entry, revision) ||
        Contains(attempted_backends, entry->backend.id()))
      continue;
    if (best == nullptr || RelativeLoad(*entry) < RelativeLoad(*best)) best = entry;
  }
  if (best != nullptr) return best;
  for (const BackendPointer& entry : pool.all) {
    if (!directory_->health()->EligibleForTrial(*entry) ||
        Contains(attempted_backends, entry->backend.id()))
      continue;
    if (best == nullptr || entry->ejected_until < best->ejected_until) best = entry;
  }
  return best;
}

BackendPointer WorkerRouter::LeastLoaded(BackendPool* pool, uint64_t revision,
                                         const std::vector<std::string>& attempted_backends) {
  BackendPointer local = PowerOfTwoChoices(pool->local, revision, attempted_backends);
  if (local != nullptr && RelativeLoad(*local) <= kLocalLoadLimit) return local;
  BackendPointer any = PowerOfTwoChoices(pool->all, revision, attempted_backends);
  if (any != nullptr && (local == nullptr || RelativeLoad(*any) < RelativeLoad(*local))) return any;
  if (local != nullptr) return local;
  return SearchAll(*pool, revision, attempted_backends);
}

const index::PrefixHolder* WorkerRouter::BestSource(const std::vector<index::PrefixHolder>& holders,
                                                    const Candidate& candidate) const {
  const std::string& worker = candidate.backend->backend.id();
  for (const index::PrefixHolder& holder : holders) {  // longest first
    if (holder.blocks <= candidate.cached_blocks) return nullptr;
    if (holder.backend_id == worker) continue;
    const BackendPointer source = directory_->Find(holder.backend_id);
    if (source == nullptr || source->evacuated) continue;
    if (links_->FetchIsWorthwhile(holder.backend_id, worker)) return &holder;
  }
  return nullptr;
}

void WorkerRouter::EstimateCost(const std::vector<index::PrefixHolder>& holders,
                                size_t chain_length, Candidate* candidate) const {
  const BackendEntry& entry = *candidate->backend;
  candidate->source = BestSource(holders, *candidate);
  const uint32_t reachable =
      candidate->source == nullptr ? candidate->cached_blocks : candidate->source->blocks;
  const double prefill = links_->PrefillCost();
  double cost =
      static_cast<double>(entry.pending_blocks) * prefill +
      entry.in_flight * kRunningRequestCostMs +
      runtime::ToMilliseconds(directory_->load()->UnresponsiveTime(entry)) +
      directory_->load()->ExpectedWait(entry) +
      static_cast<double>(chain_length - std::min<size_t>(reachable, chain_length)) * prefill;
  if (candidate->source != nullptr) {
    cost += (reachable - candidate->cached_blocks) *
            links_->FetchCost(candidate->source->backend_id, entry.backend.id());
  }
  candidate->cost = cost / directory_->health()->SlowStartShare(entry);
}

bool WorkerRouter::HasCapacity(const BackendEntry& entry, uint32_t priority) const {
  const double allowed =
      std::ceil(AdmissionControl::AllowedShare(priority) * directory_->health()->Limit(entry));
  return entry.in_flight + 1.0 <= allowed;
}

std::vector<WorkerRouter::Candidate> WorkerRouter::HolderCandidates(
    const RouteQuery& query, const std::vector<index::PrefixHolder>& holders) const {
  std::vector<Candidate> candidates;
  for (const index::PrefixHolder& holder : holders) {
    if (candidates.size() >= kMaxHolderCandidates) break;
    const BackendPointer entry = directory_->Find(holder.backend_id);
    if (entry == nullptr || entry->backend.kind() != control::BACKEND_KIND_WORKER) continue;
    if (entry->backend.model() != *query.model) continue;
    if (!directory_->health()->Eligible(*entry, query.seed->model_revision)) continue;
    if (!HasCapacity(*entry, query.priority) ||
        Contains(*query.attempted_backends, holder.backend_id))
      continue;
    const bool cache_lost = entry->epoch > holder.epoch;
    candidates.push_back(Candidate{entry, cache_lost ? 0 : holder.blocks});
  }
  return candidates;
}

BackendPointer WorkerRouter::RouteByPrefix(const RouteQuery& query, BackendPool* pool,
                                           RouteDecision* decision) {
  std::vector<index::PrefixHolder> holders;
  if (!query.chain->empty()) holders = locator_->Locate(*query.seed, *query.chain);
  std::vector<Candidate> candidates = HolderCandidates(query, holders);
  const BackendPointer sampled =
      LeastLoaded(pool, query.seed->model_revision, *query.attempted_backends);
  const bool sampled_has_capacity = sampled != nullptr && HasCapacity(*sampled, query.priority);
  if (sampled_has_capacity || (sampled != nullptr && candidates.empty())) {
    candidates.push_back(Candidate{sampled});
  }
  const Candidate* best = nullptr;
  for (Candidate& candidate : candidates) {
    EstimateCost(holders, query.chain->size(), &candidate);
    if (best == nullptr || candidate.cost < best->cost) best = &candidate;
  }
  if (best == nullptr) return nullptr;
  decision->cached_blocks = best->cached_blocks;
  if (best->source != nullptr) {
    decision->fetch_source = best->source->backend_id;
    decision->fetch_endpoint = directory_->Find(best->source->backend_id)->backend.endpoint();
    decision->fetch_blocks = best->source->blocks;
  }
  return best->backend;
}

void WorkerRouter::Finish(BackendPointer chosen, uint32_t priority, const std::string& reason,
                          RouteDecision* decision) {
  if (chosen == nullptr) {
    metrics_->routes.Increment("none");
    return;
  }
  if (!HasCapacity(*chosen, priority)) {
    decision->outcome = RouteDecision::Outcome::kShed;
    metrics_->routes.Increment("shed");
    return;
  }
  decision->outcome = RouteDecision::Outcome::kChosen;
  decision->backend = std::move(chosen);
  metrics_->routes.Increment(reason);
}

RouteDecision WorkerRouter::RouteInference(const RouteQuery& query) {
  RouteDecision decision;
  BackendPool* pool = directory_->WorkerPool(*query.model);
  BackendPointer chosen;
  std::string reason = "none";
  if (pool != nullptr && options_->routing_mode == RoutingMode::kRoundRobin) {
    chosen = NextRoundRobin(pool, query.seed->model_revision, *query.attempted_backends);
    reason = "round_robin";
  } else if (pool != nullptr) {
    chosen = RouteByPrefix(query, pool, &decision);
    reason = decision.cached_blocks > 0 ? "prefix" : "load";
    if (!decision.fetch_endpoint.empty()) reason = "fetch";
  }
  Finish(std::move(chosen), query.priority, reason, &decision);
  return decision;
}

RouteDecision WorkerRouter::RouteService(const std::string& service, uint32_t priority,
                                         const std::vector<std::string>& attempted_backends) {
  RouteDecision decision;
  BackendPool* pool = directory_->ServicePool(service);
  BackendPointer chosen = pool == nullptr ? nullptr : LeastLoaded(pool, 0, attempted_backends);
  Finish(std::move(chosen), priority, "load", &decision);
  return decision;
}

}  // namespace posthatch::gateway
