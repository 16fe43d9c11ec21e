#include "posthatch/routing/placement_cost.h"

#include <algorithm>

namespace posthatch::routing {
namespace {

// Parameters of the cost model; times are in milliseconds. docs/design-docs/platform.md describes
// how they were measured or derived.

// Penalty for a worker in another zone: traffic between zones has a cost.
constexpr double kCrossZonePenaltyMs = 8;
// Penalty for a worker in another zone if load reports of other zones are delayed: the worker may
// be busy by now.
constexpr double kDelayedZonePenaltyMs = 60;
// Penalty for a worker without a pooled connection: workers accept few connections, and opening one
// takes time.
constexpr double kNewConnectionPenaltyMs = 20;
// A prefill delays the streams that run at the same worker: each of them gets only one token per
// prefill step. The cost per stream is this fraction of the prefill time; a prompt of one or two
// steps costs nothing.
constexpr double kPrefillInterferenceFraction = 0.35;
constexpr uint64_t kNegligiblePrefillTokens = 4096;
// Short prompts are batched at workers that already run streams, which hardly delays these streams
// and leaves other workers free for long prefills. The bonus per running stream, and the maximum
// number of streams that count.
constexpr double kDecodeBatchingBonusMs = 4;
constexpr uint32_t kMaxBatchedStreams = 12;
// Segments fetched to a second worker evict as many tokens from its cache, some of which must be
// prefilled again. The cost is this fraction of the time to prefill the fetched segments.
constexpr double kEvictionCostFraction = 0.3;
constexpr double kFetchOverheadMs = 4;
// Probability that the store has shared segments for which the index knows no cache holder.
constexpr double kStoreHitPrior = 0.6;
// Time of a fetch if workers can't transfer: slower than every feasible plan.
constexpr double kInfeasibleFetchMs = 1e9;
constexpr double kBitsPerByte = 8;
constexpr double kKilobitsPerMegabit = 1000;

}  // namespace

bool PlacementCost::NeedsNewConnection(const PlacementQuery& query, const Worker& worker) const {
  return switches_.kept_connections && !runtime_->http_client->HasPooledConnection(
                                           worker.backend.endpoint(), query.pooled_connections);
}

double PlacementCost::Estimate(const PlacementQuery& query, const PlacementCandidate& candidate,
                               Placement* placement) const {
  const Worker& worker = *candidate.worker;
  const uint64_t total = query.prompt->total_tokens();
  PrefillPlan plan = PlanPrefill(query, candidate);
  const Load load = pool_->TotalLoad(worker);
  placement->worker = candidate.worker;
  placement->uncached_tokens = total - std::min(total, candidate.cached_tokens);
  placement->fetch_tokens = plan.fetch_tokens;
  placement->fetch_endpoint = std::move(plan.fetch_endpoint);
  placement->expected_ms = prefill_rate_->MillisecondsFor(load.pending_tokens) + plan.ms;
  const double likely_saving_ms = prefill_rate_->MillisecondsFor(
      candidate.likely_cached_tokens -
      std::min(candidate.likely_cached_tokens, candidate.cached_tokens));
  const double eviction_ms =
      kEvictionCostFraction * prefill_rate_->MillisecondsFor(placement->fetch_tokens);
  const double measured_wait_ms = switches_.measured_waits ? pool_->ExpectedWait(worker) : 0;
  const double connection_ms = NeedsNewConnection(query, worker) ? kNewConnectionPenaltyMs : 0;
  return placement->expected_ms + measured_wait_ms + ZonePenaltyMs(worker) + connection_ms +
         eviction_ms - likely_saving_ms +
         InterferenceMs(load, placement->uncached_tokens - placement->fetch_tokens);
}

PlacementCost::PrefillPlan PlacementCost::PlanPrefill(const PlacementQuery& query,
                                                      const PlacementCandidate& candidate) const {
  const uint64_t total = query.prompt->total_tokens();
  PrefillPlan plan;
  plan.ms = prefill_rate_->MillisecondsFor(total - std::min(total, candidate.cached_tokens));
  ConsiderCacheHolders(query, candidate, &plan);
  ConsiderFinishedPrefills(query, candidate, &plan);
  ConsiderStore(query, candidate, &plan);
  return plan;
}

void PlacementCost::ConsiderCacheHolders(const PlacementQuery& query,
                                         const PlacementCandidate& candidate,
                                         PrefillPlan* plan) const {
  for (const index::PrefixHolder& holder : query.holders) {
    // A worker can't use segments that were cached under another model revision.
    if (holder.model_revision != candidate.worker->revision) continue;
    ConsiderSource(query, candidate, holder.backend_id, query.prompt->TokensInFirst(holder.blocks),
                   plan);
  }
}

void PlacementCost::ConsiderFinishedPrefills(const PlacementQuery& query,
                                             const PlacementCandidate& candidate,
                                             PrefillPlan* plan) const {
  if (query.in_flight_prefills == nullptr) return;
  for (const auto& location :
       query.in_flight_prefills->Find(query.prompt->affinity, candidate.worker->revision)) {
    if (!location.ready) continue;
    ConsiderSource(query, candidate, location.worker_id, query.prompt->shared_tokens, plan);
  }
}

void PlacementCost::ConsiderSource(const PlacementQuery& query, const PlacementCandidate& candidate,
                                   const std::string& source_id, uint64_t available_tokens,
                                   PrefillPlan* plan) const {
  if (!switches_.peer_moves) return;
  if (available_tokens < candidate.cached_tokens + kMinTokensToFetch) return;
  const Worker& worker = *candidate.worker;
  // A source needn't be eligible for new work.
  for (const WorkerPointer& source : pool_->WorkersOf(query.service->name())) {
    if (source->backend.id() != source_id || source == candidate.worker) continue;
    if (source->revision != worker.revision) continue;
    if (!pool_->MayTransfer(*source) || !pool_->MayTransfer(worker)) continue;
    const uint64_t fetched = available_tokens - candidate.cached_tokens;
    const bool same_zone = source->backend.zone() == worker.backend.zone();
    const double ms =
        FetchMs(query.service->engine(), fetched, same_zone) +
        prefill_rate_->MillisecondsFor(query.prompt->total_tokens() - available_tokens);
    if (ms >= plan->ms) continue;
    *plan = {ms, fetched, source->backend.endpoint()};
  }
}

void PlacementCost::ConsiderStore(const PlacementQuery& query, const PlacementCandidate& candidate,
                                  PrefillPlan* plan) const {
  if (query.store == nullptr || !pool_->MayTransfer(*candidate.worker)) return;
  if (query.prompt->shared_tokens < candidate.cached_tokens + kMinTokensToFetch) return;
  if (SharedSegmentsAreCached(query, candidate.worker->revision)) return;
  const double ms = ExpectedMsWithStore(query, candidate);
  if (ms < plan->ms) *plan = {ms, 0, query.store->endpoint};
}

double PlacementCost::ExpectedMsWithStore(const PlacementQuery& query,
                                          const PlacementCandidate& candidate) const {
  const uint64_t total = query.prompt->total_tokens();
  const uint64_t shared = query.prompt->shared_tokens;
  const uint64_t cached = candidate.cached_tokens;
  const bool same_zone = query.store->zone == candidate.worker->backend.zone();
  const double hit_ms = FetchMs(query.service->engine(), shared - cached, same_zone) +
                        prefill_rate_->MillisecondsFor(total - shared);
  return kStoreHitPrior * hit_ms +
         (1 - kStoreHitPrior) * (kFetchOverheadMs + prefill_rate_->MillisecondsFor(total - cached));
}

double PlacementCost::FetchMs(const control::WorkerEngine& engine, uint64_t tokens,
                              bool same_zone) const {
  if (engine.link_mbps() <= 0 || engine.kv_token_bytes() == 0) return kInfeasibleFetchMs;
  const double bits =
      static_cast<double>(tokens) * static_cast<double>(engine.kv_token_bytes()) * kBitsPerByte;
  const double milliseconds = bits / (engine.link_mbps() * kKilobitsPerMegabit);
  return kFetchOverheadMs + milliseconds * (same_zone ? 1 : 2);
}

double PlacementCost::ZonePenaltyMs(const Worker& worker) const {
  if (worker.backend.zone() == zone_) return 0;
  return pool_->RemoteZoneLoadIsDelayed() ? kDelayedZonePenaltyMs : kCrossZonePenaltyMs;
}

double PlacementCost::InterferenceMs(const Load& load, uint64_t tokens) const {
  if (tokens <= kNegligiblePrefillTokens) {
    if (!switches_.gathering) return 0;
    return -kDecodeBatchingBonusMs * std::min(load.in_flight, kMaxBatchedStreams);
  }
  if (!switches_.interference) return 0;
  return kPrefillInterferenceFraction * prefill_rate_->MillisecondsFor(tokens) * load.in_flight;
}

}  // namespace posthatch::routing
