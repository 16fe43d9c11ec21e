#include "posthatch/routing/placer.h"

#include <algorithm>
#include <array>
#include <utility>

#include "posthatch/routing/rendezvous_rank.h"

namespace posthatch::routing {
namespace {

// Parameters of candidate selection.
constexpr size_t kRankedCandidates = 3;
constexpr size_t kRandomCandidates = 2;
// Probability that a worker has cached a prompt's shared segments if the index knows no cache
// holder, by the worker's rank: all gateways prefer the same workers, and index entries arrive with
// a delay.
constexpr std::array<double, kRankedCandidates> kCacheHitPrior = {0.6, 0.2, 0.05};
// Penalty for a new connection, for calls that are not prompts: a request in flight counts 2,
// another zone 1.
constexpr double kCallNewConnectionPenalty = 1.5;
constexpr uint64_t kMinTokensToSave = 1024;

// Whether the index entry `holder` names this worker, and the worker still serves the entry's
// revision.
bool IsCacheHolder(const Worker& worker, const index::PrefixHolder& holder) {
  return holder.backend_id == worker.backend.id() && holder.model_revision == worker.revision;
}

// Whether any worker of a revision is known to cache a prefix of the prompt, or to be prefilling
// its shared segments now.
bool HasKnownCacheHolder(const PlacementQuery& query, uint64_t revision) {
  const bool cached =
      std::any_of(query.holders.begin(), query.holders.end(),
                  [&](const auto& holder) { return holder.model_revision == revision; });
  if (cached || query.in_flight_prefills == nullptr) return cached;
  return !query.in_flight_prefills->Find(query.prompt->affinity, revision).empty();
}

bool Contains(const std::vector<std::string>* ids, const std::string& id) {
  return ids != nullptr && std::find(ids->begin(), ids->end(), id) != ids->end();
}

}  // namespace

Placement Placer::Choose(const PlacementQuery& query) {
  const Workers usable = UsableWorkers(query);
  if (usable.empty()) return {};
  return query.prompt == nullptr ? ChooseForCall(query, usable) : ChooseForPrompt(query, usable);
}

Placer::Workers Placer::UsableWorkers(const PlacementQuery& query) const {
  const Workers& all = pool_->WorkersOf(query.service->name());
  Workers usable;
  for (const WorkerPointer& worker : all) {
    if (pool_->IsEligible(*worker) && !Contains(query.attempted_workers, worker->backend.id())) {
      usable.push_back(worker);
    }
  }
  if (!usable.empty()) return usable;
  for (const WorkerPointer& worker : all) {
    if (pool_->IsEligibleAsLastResort(*worker)) usable.push_back(worker);
  }
  return usable;
}

Placement Placer::ChooseForCall(const PlacementQuery& query, const Workers& usable) {
  const auto cost = [this, &query](const Worker& worker) {
    const double zone = worker.backend.zone() == zone_ ? 0 : 1;
    const double connection =
        cost_.NeedsNewConnection(query, worker) ? kCallNewConnectionPenalty : 0;
    return static_cast<double>(pool_->TotalLoad(worker).in_flight) * 2 + zone + connection;
  };
  // Starts at a random worker, so that ties are broken evenly.
  WorkerPointer best;
  const size_t start = runtime_->random->Uniform(usable.size());
  for (size_t i = 0; i < usable.size(); ++i) {
    const WorkerPointer& worker = usable[(start + i) % usable.size()];
    if (best == nullptr || cost(*worker) < cost(*best)) best = worker;
  }
  Placement placement;
  placement.worker = std::move(best);
  return placement;
}

Placement Placer::ChooseForPrompt(const PlacementQuery& query, const Workers& usable) {
  Placement best;
  double best_cost = 0;
  for (const PlacementCandidate& candidate : MakeCandidates(query, usable)) {
    Placement placement;
    const double cost = cost_.Estimate(query, candidate, &placement);
    if (best.worker != nullptr && cost >= best_cost) continue;
    best = std::move(placement);
    best_cost = cost;
  }
  GuessFetchSource(query, usable, &best);
  const bool long_enough = query.prompt->shared_tokens >= kMinTokensToSave;
  if (query.store != nullptr && long_enough &&
      !SharedSegmentsAreCached(query, best.worker->revision)) {
    best.save_endpoint = query.store->endpoint;
  }
  return best;
}

uint64_t Placer::CachedTokens(const PlacementQuery& query, const Worker& worker) {
  uint64_t cached = 0;
  for (const index::PrefixHolder& holder : query.holders) {
    if (!IsCacheHolder(worker, holder)) continue;
    cached = std::max(cached, query.prompt->TokensInFirst(holder.blocks));
  }
  if (cached >= query.prompt->shared_tokens || query.in_flight_prefills == nullptr) return cached;
  const auto locations = query.in_flight_prefills->Find(query.prompt->affinity, worker.revision);
  const bool is_prefilling = std::any_of(
      locations.begin(), locations.end(),
      [&worker](const auto& location) { return location.worker_id == worker.backend.id(); });
  return is_prefilling ? query.prompt->shared_tokens : cached;
}

std::vector<PlacementCandidate> Placer::MakeCandidates(const PlacementQuery& query,
                                                       const Workers& usable) const {
  std::vector<PlacementCandidate> candidates;
  for (const WorkerPointer& worker : usable) {
    if (CachedTokens(query, *worker) > 0) AddCandidate(query, worker, 0, &candidates);
  }
  const Workers ranked = RankedWorkers(query, usable);
  for (size_t i = 0; i < ranked.size(); ++i) {
    AddCandidate(query, ranked[i], kCacheHitPrior[i], &candidates);
  }
  // A long prompt goes to workers that cache it: prefilling it at another one would evict other
  // prompts.
  if (query.prompt->shared_tokens < kMinTokensToSave) {
    const WorkerPointer connected = LeastLoadedConnected(query, usable);
    if (connected != nullptr) AddCandidate(query, connected, 0, &candidates);
  }
  const std::vector<size_t> pool = RandomCandidatePool(usable);
  for (size_t i = 0; i < kRandomCandidates; ++i) {
    AddCandidate(query, usable[pool[runtime_->random->Uniform(pool.size())]], 0, &candidates);
  }
  return candidates;
}

void Placer::AddCandidate(const PlacementQuery& query, const WorkerPointer& worker,
                          double likelihood, std::vector<PlacementCandidate>* candidates) {
  const bool is_candidate = std::any_of(candidates->begin(), candidates->end(),
                                        [&](const auto& other) { return other.worker == worker; });
  if (is_candidate) return;
  const auto likely_tokens =
      static_cast<uint64_t>(likelihood * static_cast<double>(query.prompt->shared_tokens));
  candidates->push_back({worker, CachedTokens(query, *worker),
                         HasKnownCacheHolder(query, worker->revision) ? 0 : likely_tokens});
}

Placer::Workers Placer::RankedWorkers(const PlacementQuery& query, const Workers& usable) const {
  std::vector<std::pair<uint64_t, size_t>> ranks;  // rank, position in `usable`
  ranks.reserve(usable.size());
  for (size_t i = 0; i < usable.size(); ++i) {
    ranks.emplace_back(RendezvousRank(query.prompt->affinity, usable[i]->backend.id()), i);
  }
  const size_t count = switches_.rank ? std::min(kRankedCandidates, ranks.size()) : 0;
  std::partial_sort(ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(count), ranks.end());
  Workers ranked;
  for (size_t i = 0; i < count; ++i) ranked.push_back(usable[ranks[i].second]);
  return ranked;
}

WorkerPointer Placer::LeastLoadedConnected(const PlacementQuery& query,
                                           const Workers& usable) const {
  WorkerPointer best;
  uint64_t min_tokens = 0;
  if (!switches_.kept_connections) return best;
  for (const WorkerPointer& worker : usable) {
    if (worker->backend.zone() != zone_ || cost_.NeedsNewConnection(query, *worker)) continue;
    const uint64_t tokens = pool_->TotalLoad(*worker).pending_tokens;
    if (best != nullptr && tokens >= min_tokens) continue;
    best = worker;
    min_tokens = tokens;
  }
  return best;
}

std::vector<size_t> Placer::RandomCandidatePool(const Workers& usable) const {
  std::vector<size_t> in_zone;
  std::vector<size_t> all;
  for (size_t i = 0; i < usable.size(); ++i) {
    all.push_back(i);
    if (usable[i]->backend.zone() == zone_) in_zone.push_back(i);
  }
  // Load reports of other zones are too old to identify an idle worker.
  const bool only_in_zone = switches_.near_candidates && pool_->RemoteZoneLoadIsDelayed() &&
                            in_zone.size() >= kRandomCandidates;
  return only_in_zone ? in_zone : all;
}

void Placer::GuessFetchSource(const PlacementQuery& query, const Workers& usable,
                              Placement* placement) const {
  const uint64_t unshared_tokens = query.prompt->total_tokens() - query.prompt->shared_tokens;
  const bool saves_enough = placement->uncached_tokens >= unshared_tokens + kMinTokensToFetch;
  if (!switches_.guessed_source || !saves_enough || !placement->fetch_endpoint.empty()) return;
  if (!pool_->MayTransfer(*placement->worker)) return;
  const WorkerPointer* first = nullptr;
  for (const WorkerPointer& worker : usable) {
    if (worker->revision != placement->worker->revision) continue;
    const bool ranks_before =
        first == nullptr || RendezvousRank(query.prompt->affinity, worker->backend.id()) <
                                RendezvousRank(query.prompt->affinity, (*first)->backend.id());
    if (ranks_before) first = &worker;
  }
  if (first == nullptr || *first == placement->worker || !pool_->MayTransfer(**first)) return;
  placement->fetch_endpoint = (*first)->backend.endpoint();
}

}  // namespace posthatch::routing
