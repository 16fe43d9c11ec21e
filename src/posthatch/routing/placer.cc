#include "posthatch/routing/placer.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

#include "absl/container/inlined_vector.h"

namespace posthatch::routing {
namespace {

constexpr size_t kRankedCandidates = 3;
constexpr size_t kRandomCandidates = 2;
// How likely a worker keeps a prompt's shared segments when the index knows of no holder: all
// gateways send them to the same first workers, and news of it takes a moment.
constexpr std::array<double, kRankedCandidates> kCacheHitPrior = {0.6, 0.2, 0.05};
// A worker in another zone must be this much sooner: bytes between zones cost.
constexpr double kCrossZonePenaltyMs = 8;
// In a large fleet the load in other zones is known late: a worker there may be taken already.
constexpr double kDelayedZonePenaltyMs = 60;
// Workers take few connections, and opening one costs them a moment: one that a connection is kept
// to is preferred as if it were this much sooner.
constexpr double kNewConnectionPenaltyMs = 20;
// The same for calls that are no prompts, in calls under way there.
constexpr double kNewConnectionPenaltyCalls = 1.5;
// Reading a prompt holds up the streams that run at the same worker: each of them gets one token in
// the time of a whole read step. Weighed as this share of the reading time per stream; a prompt of
// a step or two is not felt.
constexpr double kPrefillInterferenceFraction = 0.35;
constexpr uint64_t kNegligiblePrefillTokens = 4096;
// Short prompts are gathered where streams run already, which costs those next to nothing and
// leaves other workers free for long reads. The saving per stream there, and for how many.
constexpr double kDecodeBatchingBonusMs = 4;
constexpr uint32_t kMaxBatchedStreams = 12;
// Kept segments that are fetched to a second worker push out as much of what is kept there, some of
// which has to be read again: weighed as this share of reading them.
constexpr double kEvictionCostFraction = 0.3;
constexpr double kFetchOverheadMs = 4;
// How likely the store keeps shared segments that the index knows no holder of.
constexpr double kStoreHitPrior = 0.6;
constexpr uint64_t kMinTokensToFetch = 512;
constexpr uint64_t kMinTokensToSave = 1024;
constexpr double kBitsPerByte = 8;
constexpr double kKilobitsPerMegabit = 1000;
// Bounds of reading rates.
constexpr double kMinPrefillRate = 5;
constexpr double kMaxPrefillRate = 400;
constexpr uint64_t kMinTokensToMeasure = 3000;
// Steps of the running median: large ones at first.
constexpr double kInitialRateStep = 1.1;
constexpr double kRateStep = 1.02;
constexpr uint32_t kInitialMeasurements = 20;

uint64_t RendezvousRank(uint64_t affinity, const std::string& worker_id) {
  return XXH3_64bits_withSeed(worker_id.data(), worker_id.size(), affinity);
}

// Whether the worker finds what the holder entry names: it is the holder and serves that revision.
bool MatchesHolder(const Worker& worker, const index::PrefixHolder& holder) {
  return holder.backend_id == worker.backend.id() && holder.model_revision == worker.revision;
}

// Whether any holder, or a worker that reads the segments now, is known among those of a revision.
bool HasKnownHolder(const PlacementQuery& query, uint64_t revision) {
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

uint64_t PromptShape::TokensInFirst(uint32_t segments) const {
  if (segments == 0 || cumulative_tokens.empty()) return 0;
  return cumulative_tokens[std::min<size_t>(segments, cumulative_tokens.size()) - 1];
}

void PrefillRate::Record(uint64_t tokens, runtime::Duration elapsed) {
  const double milliseconds = runtime::ToMilliseconds(elapsed);
  if (tokens < kMinTokensToMeasure || milliseconds <= 0) return;
  const double measured = static_cast<double>(tokens) / milliseconds;
  const double step = measurements_ < kInitialMeasurements ? kInitialRateStep : kRateStep;
  ++measurements_;
  rate_ =
      std::clamp(measured > rate_ ? rate_ * step : rate_ / step, kMinPrefillRate, kMaxPrefillRate);
}

Placement Placer::Choose(const PlacementQuery& query) {
  const std::vector<WorkerPointer> usable = UsableWorkers(query);
  if (usable.empty()) return {};
  return query.prompt == nullptr ? ChooseForCall(query, usable) : ChooseForPrompt(query, usable);
}

std::vector<WorkerPointer> Placer::UsableWorkers(const PlacementQuery& query) const {
  const std::vector<WorkerPointer>& all = pool_->WorkersOf(query.service->name());
  std::vector<WorkerPointer> usable;
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

bool Placer::NeedsNewConnection(const PlacementQuery& query, const Worker& worker) const {
  return switches_.kept_connections && !runtime_->http_client->HasPooledConnection(
                                           worker.backend.endpoint(), query.max_idle_fraction);
}

Placement Placer::ChooseForCall(const PlacementQuery& query,
                                const std::vector<WorkerPointer>& usable) {
  const auto cost = [this, &query](const Worker& worker) {
    const double zone = worker.backend.zone() == zone_ ? 0 : 1;
    const double connection = NeedsNewConnection(query, worker) ? kNewConnectionPenaltyCalls : 0;
    return static_cast<double>(pool_->TotalLoad(worker).in_flight) * 2 + zone + connection;
  };
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

uint64_t Placer::CachedTokens(const PlacementQuery& query, const Worker& worker) {
  uint64_t cached = 0;
  for (const index::PrefixHolder& holder : query.holders) {
    if (MatchesHolder(worker, holder))
      cached = std::max(cached, query.prompt->TokensInFirst(holder.blocks));
  }
  if (cached >= query.prompt->shared_tokens || query.in_flight_prefills == nullptr) return cached;
  const auto locations = query.in_flight_prefills->Find(query.prompt->affinity, worker.revision);
  const bool prefills_there = std::any_of(
      locations.begin(), locations.end(),
      [&worker](const auto& location) { return location.worker_id == worker.backend.id(); });
  return prefills_there ? query.prompt->shared_tokens : cached;
}

std::vector<Placer::Candidate> Placer::MakeCandidates(
    const PlacementQuery& query, const std::vector<WorkerPointer>& usable) const {
  std::vector<Candidate> candidates;
  const auto add = [&](const WorkerPointer& worker, double likelihood) {
    const bool known = std::any_of(candidates.begin(), candidates.end(),
                                   [&](const auto& other) { return other.worker == worker; });
    if (known) return;
    const uint64_t cached = CachedTokens(query, *worker);
    const auto likely_tokens =
        static_cast<uint64_t>(likelihood * static_cast<double>(query.prompt->shared_tokens));
    candidates.push_back(
        {worker, cached, HasKnownHolder(query, worker->revision) ? 0 : likely_tokens});
  };
  for (const WorkerPointer& worker : usable) {
    if (CachedTokens(query, *worker) > 0) add(worker, 0);
  }
  std::vector<std::pair<uint64_t, size_t>> ranked;
  ranked.reserve(usable.size());
  for (size_t i = 0; i < usable.size(); ++i) {
    ranked.emplace_back(RendezvousRank(query.prompt->affinity, usable[i]->backend.id()), i);
  }
  const size_t count = switches_.rank ? std::min(kRankedCandidates, ranked.size()) : 0;
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end());
  for (size_t i = 0; i < count; ++i) add(usable[ranked[i].second], kCacheHitPrior[i]);
  // A long prompt goes where it is kept: a further worker for it would push out other prompts.
  if (query.prompt->shared_tokens < kMinTokensToSave) {
    const WorkerPointer least_loaded = LeastLoadedConnected(query, usable);
    if (least_loaded != nullptr) add(least_loaded, 0);
  }
  const std::vector<size_t> random_pool = RandomCandidatePool(usable);
  for (size_t i = 0; i < kRandomCandidates; ++i) {
    add(usable[random_pool[runtime_->random->Uniform(random_pool.size())]], 0);
  }
  return candidates;
}

WorkerPointer Placer::LeastLoadedConnected(const PlacementQuery& query,
                                           const std::vector<WorkerPointer>& usable) const {
  WorkerPointer best;
  uint64_t min_tokens = 0;
  if (!switches_.kept_connections) return best;
  for (const WorkerPointer& worker : usable) {
    if (worker->backend.zone() != zone_ || NeedsNewConnection(query, *worker)) continue;
    const uint64_t tokens = pool_->TotalLoad(*worker).pending_tokens;
    if (best != nullptr && tokens >= min_tokens) continue;
    best = worker;
    min_tokens = tokens;
  }
  return best;
}

std::vector<size_t> Placer::RandomCandidatePool(const std::vector<WorkerPointer>& usable) const {
  std::vector<size_t> near;
  std::vector<size_t> all;
  for (size_t i = 0; i < usable.size(); ++i) {
    all.push_back(i);
    if (usable[i]->backend.zone() == zone_) near.push_back(i);
  }
  const bool near_only = switches_.near_candidates && pool_->RemoteZoneLoadIsDelayed() &&
                         near.size() >= kRandomCandidates;
  return near_only ? near : all;
}

double Placer::FetchMs(const control::WorkerEngine& engine, uint64_t tokens, bool same_zone) const {
  if (engine.link_mbps() <= 0 || engine.kv_token_bytes() == 0) return 1e9;
  const double bits =
      static_cast<double>(tokens) * static_cast<double>(engine.kv_token_bytes()) * kBitsPerByte;
  const double milliseconds = bits / (engine.link_mbps() * kKilobitsPerMegabit);
  return kFetchOverheadMs + milliseconds * (same_zone ? 1 : 2);
}

double Placer::EstimateCost(const PlacementQuery& query, const Candidate& candidate,
                            Placement* placement) const {
  const Worker& worker = *candidate.worker;
  const uint64_t total = query.prompt->total_tokens();
  placement->worker = candidate.worker;
  placement->uncached_tokens = total - std::min(total, candidate.cached_tokens);
  double prefill_ms = prefill_rate_.MillisecondsFor(placement->uncached_tokens);
  for (const index::PrefixHolder& holder : query.holders) {
    const uint64_t cached = query.prompt->TokensInFirst(holder.blocks);
    // What was made under another revision is of no use there.
    if (holder.model_revision != worker.revision) continue;
    if (cached < candidate.cached_tokens + kMinTokensToFetch) continue;
    // A source needn't be fit for new work.
    for (const WorkerPointer& source : pool_->WorkersOf(query.service->name())) {
      if (!switches_.peer_moves) break;
      if (!MatchesHolder(*source, holder) || source == candidate.worker) continue;
      if (!pool_->MayTransfer(*source) || !pool_->MayTransfer(worker)) continue;
      const uint64_t fetched = cached - candidate.cached_tokens;
      const bool same_zone = source->backend.zone() == worker.backend.zone();
      const double with_fetch = FetchMs(query.service->engine(), fetched, same_zone) +
                                prefill_rate_.MillisecondsFor(total - cached);
      if (with_fetch >= prefill_ms) continue;
      prefill_ms = with_fetch;
      placement->fetch_tokens = fetched;
      placement->fetch_endpoint = source->backend.endpoint();
    }
  }
  ConsiderPrefillSource(query, candidate, &prefill_ms, placement);
  const bool store_may_help =
      query.store != nullptr && pool_->MayTransfer(worker) &&
      query.prompt->shared_tokens >= candidate.cached_tokens + kMinTokensToFetch &&
      !SharedSegmentsAreCached(query, worker.revision);
  if (store_may_help) {
    const double with_store = ExpectedMsWithStore(query, candidate);
    if (with_store < prefill_ms) {
      prefill_ms = with_store;
      placement->fetch_tokens = 0;
      placement->fetch_endpoint = query.store->endpoint;
    }
  }
  const double zone = worker.backend.zone() == zone_     ? 0
                      : pool_->RemoteZoneLoadIsDelayed() ? kDelayedZonePenaltyMs
                                                         : kCrossZonePenaltyMs;
  const double likely_saving_ms = prefill_rate_.MillisecondsFor(
      candidate.likely_cached_tokens -
      std::min(candidate.likely_cached_tokens, candidate.cached_tokens));
  const Load load = pool_->TotalLoad(worker);
  placement->expected_ms = prefill_rate_.MillisecondsFor(load.pending_tokens) + prefill_ms;
  const double eviction_ms =
      kEvictionCostFraction * prefill_rate_.MillisecondsFor(placement->fetch_tokens);
  const double measured_wait_ms = switches_.measured_waits ? pool_->ExpectedWait(worker) : 0;
  const double connection_ms = NeedsNewConnection(query, worker) ? kNewConnectionPenaltyMs : 0;
  return placement->expected_ms + measured_wait_ms + zone + connection_ms + eviction_ms -
         likely_saving_ms +
         InterferenceMs(load, placement->uncached_tokens - placement->fetch_tokens);
}

void Placer::ConsiderPrefillSource(const PlacementQuery& query, const Candidate& candidate,
                                   double* prefill_ms, Placement* placement) const {
  const uint64_t total = query.prompt->total_tokens();
  const uint64_t shared = query.prompt->shared_tokens;
  if (query.in_flight_prefills == nullptr || !switches_.peer_moves) return;
  if (shared < candidate.cached_tokens + kMinTokensToFetch) return;
  for (const auto& location :
       query.in_flight_prefills->Find(query.prompt->affinity, candidate.worker->revision)) {
    if (!location.ready) continue;
    for (const WorkerPointer& source : pool_->WorkersOf(query.service->name())) {
      if (source->backend.id() != location.worker_id || source == candidate.worker) continue;
      if (source->revision != candidate.worker->revision) continue;  // it has loaded another one
      if (!pool_->MayTransfer(*source) || !pool_->MayTransfer(*candidate.worker)) continue;
      const uint64_t fetched = shared - candidate.cached_tokens;
      const bool same_zone = source->backend.zone() == candidate.worker->backend.zone();
      const double with_fetch = FetchMs(query.service->engine(), fetched, same_zone) +
                                prefill_rate_.MillisecondsFor(total - shared);
      if (with_fetch >= *prefill_ms) continue;
      *prefill_ms = with_fetch;
      placement->fetch_tokens = fetched;
      placement->fetch_endpoint = source->backend.endpoint();
    }
  }
}

bool Placer::SharedSegmentsAreCached(const PlacementQuery& query, uint64_t revision) {
  return std::any_of(query.holders.begin(), query.holders.end(), [&](const auto& holder) {
    return holder.model_revision == revision &&
           query.prompt->TokensInFirst(holder.blocks) >= query.prompt->shared_tokens;
  });
}

double Placer::ExpectedMsWithStore(const PlacementQuery& query, const Candidate& candidate) const {
  const uint64_t total = query.prompt->total_tokens();
  const uint64_t shared = query.prompt->shared_tokens;
  const uint64_t cached = candidate.cached_tokens;
  const bool same_zone = query.store->zone == candidate.worker->backend.zone();
  const double found = FetchMs(query.service->engine(), shared - cached, same_zone) +
                       prefill_rate_.MillisecondsFor(total - shared);
  return kStoreHitPrior * found +
         (1 - kStoreHitPrior) * (kFetchOverheadMs + prefill_rate_.MillisecondsFor(total - cached));
}

double Placer::InterferenceMs(const Load& load, uint64_t read_tokens) const {
  if (read_tokens <= kNegligiblePrefillTokens) {
    if (!switches_.gathering) return 0;
    return -kDecodeBatchingBonusMs * std::min(load.in_flight, kMaxBatchedStreams);
  }
  if (!switches_.interference) return 0;
  return kPrefillInterferenceFraction * prefill_rate_.MillisecondsFor(read_tokens) * load.in_flight;
}

void Placer::GuessFetchSource(const PlacementQuery& query, const std::vector<WorkerPointer>& usable,
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

Placement Placer::ChooseForPrompt(const PlacementQuery& query,
                                  const std::vector<WorkerPointer>& usable) {
  Placement best;
  double best_cost = 0;
  for (const Candidate& candidate : MakeCandidates(query, usable)) {
    Placement placement;
    const double cost = EstimateCost(query, candidate, &placement);
    if (best.worker != nullptr && cost >= best_cost) continue;
    best = std::move(placement);
    best_cost = cost;
  }
  GuessFetchSource(query, usable, &best);
  const bool save_to_store = query.prompt->shared_tokens >= kMinTokensToSave;
  if (query.store != nullptr && save_to_store &&
      !SharedSegmentsAreCached(query, best.worker->revision)) {
    best.save_endpoint = query.store->endpoint;
  }
  return best;
}

}  // namespace posthatch::routing
