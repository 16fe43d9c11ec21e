#include "posthatch/traffic/placement.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

#include "absl/container/inlined_vector.h"

namespace posthatch::traffic {
namespace {

constexpr size_t kRankedCandidates = 3;
constexpr size_t kRandomCandidates = 2;
// How likely a worker keeps a prompt's shared segments when the index knows of no holder: all
// gateways send them to the same first workers, and news of it takes a moment.
constexpr std::array<double, kRankedCandidates> kKeptLikelihood = {0.6, 0.2, 0.05};
// A worker in another zone must be this much sooner: bytes between zones cost.
constexpr double kOtherZonePenaltyMs = 8;
// In a large fleet the load in other zones is known late: a worker there may be taken already.
constexpr double kFarZonePenaltyMs = 60;
// Workers take few connections, and opening one costs them a moment: one that a connection is kept
// to is preferred as if it were this much sooner.
constexpr double kNewConnectionMs = 20;
// The same for calls that are no prompts, in calls under way there.
constexpr double kNewConnectionCalls = 1.5;
// Reading a prompt holds up the streams that run at the same worker: each of them gets one token in
// the time of a whole read step. Weighed as this share of the reading time per stream; a prompt of
// a step or two is not felt.
constexpr double kInterferenceShare = 0.35;
constexpr uint64_t kTokensNotFelt = 4096;
// Short prompts are gathered where streams run already, which costs those next to nothing and
// leaves other workers free for long reads. The saving per stream there, and for how many.
constexpr double kGatheringMs = 4;
constexpr uint32_t kMostGathered = 12;
// Kept segments that are fetched to a second worker push out as much of what is kept there, some of
// which has to be read again: weighed as this share of reading them.
constexpr double kReplicaShare = 0.3;
constexpr double kFetchOverheadMs = 4;
// How likely the store keeps shared segments that the index knows no holder of.
constexpr double kStoreLikelihood = 0.6;
constexpr uint64_t kLeastTokensToFetch = 512;
constexpr uint64_t kLeastTokensToSave = 1024;
constexpr double kBitsPerByte = 8;
constexpr double kKilobitsPerMegabit = 1000;
// Bounds of reading rates.
constexpr double kLeastRate = 5;
constexpr double kMostRate = 400;
constexpr uint64_t kLeastTokensToMeasure = 3000;
// Steps of the running median: large ones at first.
constexpr double kFirstRateStep = 1.1;
constexpr double kRateStep = 1.02;
constexpr uint32_t kFirstMeasurements = 20;

uint64_t RankOf(uint64_t affinity, const std::string& worker_id) {
  return XXH3_64bits_withSeed(worker_id.data(), worker_id.size(), affinity);
}

// Whether the worker finds what the holder entry names: it is the holder and serves that revision.
bool FindsThere(const Worker& worker, const index::PrefixHolder& holder) {
  return holder.backend_id == worker.backend.id() && holder.model_revision == worker.revision;
}

// Whether any holder, or a worker that reads the segments now, is known among those of a revision.
bool KnownOf(const PlacementQuery& query, uint64_t revision) {
  const bool kept =
      std::any_of(query.holders.begin(), query.holders.end(),
                  [&](const auto& holder) { return holder.model_revision == revision; });
  if (kept || query.under_way == nullptr) return kept;
  return !query.under_way->Find(query.prompt->affinity, revision).empty();
}

bool Contains(const std::vector<std::string>* ids, const std::string& id) {
  return ids != nullptr && std::find(ids->begin(), ids->end(), id) != ids->end();
}

}  // namespace

uint64_t PromptShape::TokensOf(uint32_t segments) const {
  if (segments == 0 || tokens_up_to.empty()) return 0;
  return tokens_up_to[std::min<size_t>(segments, tokens_up_to.size()) - 1];
}

void ReadRate::Record(uint64_t tokens, runtime::Duration elapsed) {
  const double milliseconds = runtime::ToMilliseconds(elapsed);
  if (tokens < kLeastTokensToMeasure || milliseconds <= 0) return;
  const double measured = static_cast<double>(tokens) / milliseconds;
  const double step = measurements_ < kFirstMeasurements ? kFirstRateStep : kRateStep;
  ++measurements_;
  rate_ = std::clamp(measured > rate_ ? rate_ * step : rate_ / step, kLeastRate, kMostRate);
}

Placement Placer::Choose(const PlacementQuery& query) {
  const std::vector<WorkerPointer> usable = Usable(query);
  if (usable.empty()) return {};
  return query.prompt == nullptr ? ChooseForCall(query, usable) : ChooseForPrompt(query, usable);
}

std::vector<WorkerPointer> Placer::Usable(const PlacementQuery& query) const {
  const std::vector<WorkerPointer>& all = pool_->Of(query.service->name());
  std::vector<WorkerPointer> usable;
  for (const WorkerPointer& worker : all) {
    if (pool_->Eligible(*worker) && !Contains(query.tried, worker->backend.id())) {
      usable.push_back(worker);
    }
  }
  if (!usable.empty()) return usable;
  for (const WorkerPointer& worker : all) {
    if (pool_->EligibleAsLastResort(*worker)) usable.push_back(worker);
  }
  return usable;
}

bool Placer::NeedsConnection(const PlacementQuery& query, const Worker& worker) const {
  return switches_.kept_connections &&
         !runtime_->http_client->HasKept(worker.backend.endpoint(), query.kept_connection_share);
}

Placement Placer::ChooseForCall(const PlacementQuery& query,
                                const std::vector<WorkerPointer>& usable) {
  const auto cost = [this, &query](const Worker& worker) {
    const double zone = worker.backend.zone() == zone_ ? 0 : 1;
    const double connection = NeedsConnection(query, worker) ? kNewConnectionCalls : 0;
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

uint64_t Placer::KeptAt(const PlacementQuery& query, const Worker& worker) {
  uint64_t kept = 0;
  for (const index::PrefixHolder& holder : query.holders) {
    if (FindsThere(worker, holder)) kept = std::max(kept, query.prompt->TokensOf(holder.blocks));
  }
  if (kept >= query.prompt->shared_tokens || query.under_way == nullptr) return kept;
  const auto places = query.under_way->Find(query.prompt->affinity, worker.revision);
  const bool is_read_there =
      std::any_of(places.begin(), places.end(),
                  [&worker](const auto& place) { return place.worker_id == worker.backend.id(); });
  return is_read_there ? query.prompt->shared_tokens : kept;
}

std::vector<Placer::Candidate> Placer::Candidates(const PlacementQuery& query,
                                                  const std::vector<WorkerPointer>& usable) const {
  std::vector<Candidate> candidates;
  const auto add = [&](const WorkerPointer& worker, double likelihood) {
    const bool known = std::any_of(candidates.begin(), candidates.end(),
                                   [&](const auto& other) { return other.worker == worker; });
    if (known) return;
    const uint64_t kept = KeptAt(query, *worker);
    const auto likely =
        static_cast<uint64_t>(likelihood * static_cast<double>(query.prompt->shared_tokens));
    candidates.push_back({worker, kept, KnownOf(query, worker->revision) ? 0 : likely});
  };
  for (const WorkerPointer& worker : usable) {
    if (KeptAt(query, *worker) > 0) add(worker, 0);
  }
  std::vector<std::pair<uint64_t, size_t>> ranked;
  ranked.reserve(usable.size());
  for (size_t i = 0; i < usable.size(); ++i) {
    ranked.emplace_back(RankOf(query.prompt->affinity, usable[i]->backend.id()), i);
  }
  const size_t count = switches_.rank ? std::min(kRankedCandidates, ranked.size()) : 0;
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end());
  for (size_t i = 0; i < count; ++i) add(usable[ranked[i].second], kKeptLikelihood[i]);
  // A long prompt goes where it is kept: a further worker for it would push out other prompts.
  if (query.prompt->shared_tokens < kLeastTokensToSave) {
    const WorkerPointer connected = LeastBusyConnected(query, usable);
    if (connected != nullptr) add(connected, 0);
  }
  const std::vector<size_t> drawn_from = DrawnFrom(usable);
  for (size_t i = 0; i < kRandomCandidates; ++i) {
    add(usable[drawn_from[runtime_->random->Uniform(drawn_from.size())]], 0);
  }
  return candidates;
}

WorkerPointer Placer::LeastBusyConnected(const PlacementQuery& query,
                                         const std::vector<WorkerPointer>& usable) const {
  WorkerPointer best;
  uint64_t least_tokens = 0;
  if (!switches_.kept_connections) return best;
  for (const WorkerPointer& worker : usable) {
    if (worker->backend.zone() != zone_ || NeedsConnection(query, *worker)) continue;
    const uint64_t tokens = pool_->TotalLoad(*worker).pending_tokens;
    if (best != nullptr && tokens >= least_tokens) continue;
    best = worker;
    least_tokens = tokens;
  }
  return best;
}

std::vector<size_t> Placer::DrawnFrom(const std::vector<WorkerPointer>& usable) const {
  std::vector<size_t> near;
  std::vector<size_t> all;
  for (size_t i = 0; i < usable.size(); ++i) {
    all.push_back(i);
    if (usable[i]->backend.zone() == zone_) near.push_back(i);
  }
  const bool near_only =
      switches_.near_candidates && pool_->OtherZonesAreFar() && near.size() >= kRandomCandidates;
  return near_only ? near : all;
}

double Placer::FetchMilliseconds(const control::WorkerEngine& engine, uint64_t tokens,
                                 bool same_zone) const {
  if (engine.link_mbps() <= 0 || engine.kv_token_bytes() == 0) return 1e9;
  const double bits =
      static_cast<double>(tokens) * static_cast<double>(engine.kv_token_bytes()) * kBitsPerByte;
  const double milliseconds = bits / (engine.link_mbps() * kKilobitsPerMegabit);
  return kFetchOverheadMs + milliseconds * (same_zone ? 1 : 2);
}

double Placer::Estimate(const PlacementQuery& query, const Candidate& candidate,
                        Placement* placement) const {
  const Worker& worker = *candidate.worker;
  const uint64_t total = query.prompt->total_tokens();
  placement->worker = candidate.worker;
  placement->missing_tokens = total - std::min(total, candidate.kept_tokens);
  double reading = read_rate_.MillisecondsFor(placement->missing_tokens);
  for (const index::PrefixHolder& holder : query.holders) {
    const uint64_t kept = query.prompt->TokensOf(holder.blocks);
    // What was made under another revision is of no use there.
    if (holder.model_revision != worker.revision) continue;
    if (kept < candidate.kept_tokens + kLeastTokensToFetch) continue;
    // A source needn't be fit for new work.
    for (const WorkerPointer& source : pool_->Of(query.service->name())) {
      if (!switches_.peer_moves) break;
      if (!FindsThere(*source, holder) || source == candidate.worker) continue;
      if (!pool_->MayMove(*source) || !pool_->MayMove(worker)) continue;
      const uint64_t moved = kept - candidate.kept_tokens;
      const bool same_zone = source->backend.zone() == worker.backend.zone();
      const double with_fetch = FetchMilliseconds(query.service->engine(), moved, same_zone) +
                                read_rate_.MillisecondsFor(total - kept);
      if (with_fetch >= reading) continue;
      reading = with_fetch;
      placement->fetch_tokens = moved;
      placement->fetch_endpoint = source->backend.endpoint();
    }
  }
  FetchFromReader(query, candidate, &reading, placement);
  const bool store_may_help =
      query.store != nullptr && pool_->MayMove(worker) &&
      query.prompt->shared_tokens >= candidate.kept_tokens + kLeastTokensToFetch &&
      !SharedIsKept(query, worker.revision);
  if (store_may_help) {
    const double with_store = MillisecondsWithStore(query, candidate);
    if (with_store < reading) {
      reading = with_store;
      placement->fetch_tokens = 0;
      placement->fetch_endpoint = query.store->endpoint;
    }
  }
  const double zone = worker.backend.zone() == zone_ ? 0
                      : pool_->OtherZonesAreFar()    ? kFarZonePenaltyMs
                                                     : kOtherZonePenaltyMs;
  const double likely_saving = read_rate_.MillisecondsFor(
      candidate.expected_tokens - std::min(candidate.expected_tokens, candidate.kept_tokens));
  const Load load = pool_->TotalLoad(worker);
  placement->expected_ms = read_rate_.MillisecondsFor(load.pending_tokens) + reading;
  const double replica_ms = kReplicaShare * read_rate_.MillisecondsFor(placement->fetch_tokens);
  const double measured_wait = switches_.measured_waits ? pool_->ExpectedWait(worker) : 0;
  const double connection_ms = NeedsConnection(query, worker) ? kNewConnectionMs : 0;
  return placement->expected_ms + measured_wait + zone + connection_ms + replica_ms -
         likely_saving + InterferenceMs(load, placement->missing_tokens - placement->fetch_tokens);
}

void Placer::FetchFromReader(const PlacementQuery& query, const Candidate& candidate,
                             double* reading_ms, Placement* placement) const {
  const uint64_t total = query.prompt->total_tokens();
  const uint64_t shared = query.prompt->shared_tokens;
  if (query.under_way == nullptr || !switches_.peer_moves) return;
  if (shared < candidate.kept_tokens + kLeastTokensToFetch) return;
  for (const auto& place :
       query.under_way->Find(query.prompt->affinity, candidate.worker->revision)) {
    if (!place.ready) continue;
    for (const WorkerPointer& source : pool_->Of(query.service->name())) {
      if (source->backend.id() != place.worker_id || source == candidate.worker) continue;
      if (source->revision != candidate.worker->revision) continue;  // it has loaded another one
      if (!pool_->MayMove(*source) || !pool_->MayMove(*candidate.worker)) continue;
      const uint64_t moved = shared - candidate.kept_tokens;
      const bool same_zone = source->backend.zone() == candidate.worker->backend.zone();
      const double with_fetch = FetchMilliseconds(query.service->engine(), moved, same_zone) +
                                read_rate_.MillisecondsFor(total - shared);
      if (with_fetch >= *reading_ms) continue;
      *reading_ms = with_fetch;
      placement->fetch_tokens = moved;
      placement->fetch_endpoint = source->backend.endpoint();
    }
  }
}

bool Placer::SharedIsKept(const PlacementQuery& query, uint64_t revision) {
  return std::any_of(query.holders.begin(), query.holders.end(), [&](const auto& holder) {
    return holder.model_revision == revision &&
           query.prompt->TokensOf(holder.blocks) >= query.prompt->shared_tokens;
  });
}

double Placer::MillisecondsWithStore(const PlacementQuery& query,
                                     const Candidate& candidate) const {
  const uint64_t total = query.prompt->total_tokens();
  const uint64_t shared = query.prompt->shared_tokens;
  const uint64_t kept = candidate.kept_tokens;
  const bool same_zone = query.store->zone == candidate.worker->backend.zone();
  const double found = FetchMilliseconds(query.service->engine(), shared - kept, same_zone) +
                       read_rate_.MillisecondsFor(total - shared);
  return kStoreLikelihood * found +
         (1 - kStoreLikelihood) * (kFetchOverheadMs + read_rate_.MillisecondsFor(total - kept));
}

double Placer::InterferenceMs(const Load& load, uint64_t read_tokens) const {
  if (read_tokens <= kTokensNotFelt) {
    if (!switches_.gathering) return 0;
    return -kGatheringMs * std::min(load.in_flight, kMostGathered);
  }
  if (!switches_.interference) return 0;
  return kInterferenceShare * read_rate_.MillisecondsFor(read_tokens) * load.in_flight;
}

void Placer::GuessSource(const PlacementQuery& query, const std::vector<WorkerPointer>& usable,
                         Placement* placement) const {
  const uint64_t own_tokens = query.prompt->total_tokens() - query.prompt->shared_tokens;
  const bool worth_it = placement->missing_tokens >= own_tokens + kLeastTokensToFetch;
  if (!switches_.guessed_source || !worth_it || !placement->fetch_endpoint.empty()) return;
  if (!pool_->MayMove(*placement->worker)) return;
  const WorkerPointer* first = nullptr;
  for (const WorkerPointer& worker : usable) {
    if (worker->revision != placement->worker->revision) continue;
    const bool ranks_before =
        first == nullptr || RankOf(query.prompt->affinity, worker->backend.id()) <
                                RankOf(query.prompt->affinity, (*first)->backend.id());
    if (ranks_before) first = &worker;
  }
  if (first == nullptr || *first == placement->worker || !pool_->MayMove(**first)) return;
  placement->fetch_endpoint = (*first)->backend.endpoint();
}

Placement Placer::ChooseForPrompt(const PlacementQuery& query,
                                  const std::vector<WorkerPointer>& usable) {
  Placement best;
  double best_cost = 0;
  for (const Candidate& candidate : Candidates(query, usable)) {
    Placement placement;
    const double cost = Estimate(query, candidate, &placement);
    if (best.worker != nullptr && cost >= best_cost) continue;
    best = std::move(placement);
    best_cost = cost;
  }
  GuessSource(query, usable, &best);
  const bool worth_saving = query.prompt->shared_tokens >= kLeastTokensToSave;
  if (query.store != nullptr && worth_saving && !SharedIsKept(query, best.worker->revision)) {
    best.save_endpoint = query.store->endpoint;
  }
  return best;
}

}  // namespace posthatch::traffic
