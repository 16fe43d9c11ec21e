#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "posthatch/routing/placement.h"
#include "posthatch/routing/placement_cost.h"
#include "posthatch/routing/prefill_rate.h"
#include "posthatch/routing/routing_switches.h"
#include "posthatch/routing/worker_pool.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::routing {

// Chooses the worker for a call. For a prompt: the cheapest of a few candidates by PlacementCost.
// Candidates are the workers that cache a prefix or are prefilling it, a few workers that every
// gateway ranks first for the prompt (by rendezvous hashing, so that calls with a common prefix
// reach the same worker without coordination), two random workers and, if few tokens are shared, a
// worker with a pooled connection. For any other call: the worker with the fewest requests in
// flight, with penalties for another zone and for a new connection. Owned by TrafficGateway; event
// loop thread only.
class Placer {
 public:
  // `runtime` and `pool` must outlive this object; `zone` is this gateway's zone.
  Placer(runtime::Runtime* runtime, std::string zone, WorkerPool* pool,
         const RoutingSwitches& switches = RoutingSwitches())
      : runtime_(runtime),
        zone_(std::move(zone)),
        pool_(pool),
        switches_(switches),
        cost_(runtime, zone_, pool, &prefill_rate_, switches) {}
  Placer(const Placer&) = delete;
  Placer& operator=(const Placer&) = delete;

  // Returns a placement without a worker if no worker is eligible.
  Placement Choose(const PlacementQuery& query);
  PrefillRate* prefill_rate() { return &prefill_rate_; }

 private:
  using Workers = std::vector<WorkerPointer>;

  Placement ChooseForPrompt(const PlacementQuery& query, const Workers& usable);
  Placement ChooseForCall(const PlacementQuery& query, const Workers& usable);
  // Workers that are eligible and were not attempted; if there is none, those that are eligible as
  // a last resort.
  Workers UsableWorkers(const PlacementQuery& query) const;

  std::vector<PlacementCandidate> MakeCandidates(const PlacementQuery& query,
                                                 const Workers& usable) const;
  // Adds the worker unless it is a candidate already. `likelihood` is the probability that the
  // worker has cached the shared segments, for the case that no cache holder is known.
  static void AddCandidate(const PlacementQuery& query, const WorkerPointer& worker,
                           double likelihood, std::vector<PlacementCandidate>* candidates);
  // The workers that all gateways rank first for the prompt, best first.
  Workers RankedWorkers(const PlacementQuery& query, const Workers& usable) const;
  // The worker of this zone with the fewest pending tokens among those with a pooled connection;
  // null if there is none.
  WorkerPointer LeastLoadedConnected(const PlacementQuery& query, const Workers& usable) const;
  // Positions in `usable` from which the random candidates are drawn; these may happen to be idle.
  std::vector<size_t> RandomCandidatePool(const Workers& usable) const;

  // Tokens of the prompt that the worker has cached, or is prefilling already.
  static uint64_t CachedTokens(const PlacementQuery& query, const Worker& worker);
  // If `placement` has no fetch source and enough tokens to fetch, sets the source to the worker
  // that all gateways rank first among those of the same revision: the shared segments may be
  // cached there although the index knows no cache holder. A miss costs next to nothing.
  void GuessFetchSource(const PlacementQuery& query, const Workers& usable,
                        Placement* placement) const;

  runtime::Runtime* const runtime_;
  const std::string zone_;
  WorkerPool* const pool_;
  const RoutingSwitches switches_;
  PrefillRate prefill_rate_;
  const PlacementCost cost_;
};

}  // namespace posthatch::routing
