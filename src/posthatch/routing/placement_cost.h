#pragma once

#include <cstdint>
#include <string>
#include <utility>

#include "posthatch/routing/placement.h"
#include "posthatch/routing/prefill_rate.h"
#include "posthatch/routing/routing_switches.h"
#include "posthatch/routing/worker_pool.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::routing {

// The cost model of placement: the cost of running a prompt at a candidate worker, in milliseconds
// of expected time to its first event, plus penalties for its effect on other requests. It also
// selects where the candidate fetches cached segments from: the source with the lowest cost. Owned
// by Placer; event loop thread only.
class PlacementCost {
 public:
  // `runtime`, `pool` and `prefill_rate` must outlive this object.
  PlacementCost(runtime::Runtime* runtime, std::string zone, const WorkerPool* pool,
                const PrefillRate* prefill_rate, const RoutingSwitches& switches)
      : runtime_(runtime),
        zone_(std::move(zone)),
        pool_(pool),
        prefill_rate_(prefill_rate),
        switches_(switches) {}

  // Returns the cost of a prompt at the candidate. Sets every field of `placement` except
  // `save_endpoint`.
  double Estimate(const PlacementQuery& query, const PlacementCandidate& candidate,
                  Placement* placement) const;
  // Whether a call to the worker needs a new connection.
  bool NeedsNewConnection(const PlacementQuery& query, const Worker& worker) const;

 private:
  // Which part of a prompt a candidate fetches before it prefills the rest.
  struct PrefillPlan {
    double ms = 0;              // time to fetch and prefill
    uint64_t fetch_tokens = 0;  // 0 for a store, whose contents are unknown
    std::string fetch_endpoint;
  };

  // Returns the fastest plan.
  PrefillPlan PlanPrefill(const PlacementQuery& query, const PlacementCandidate& candidate) const;
  // Each replaces `plan` if a plan with its kind of fetch is faster: from workers that cache a
  // prefix of the prompt; from workers that have just prefilled the shared segments; from the
  // store.
  void ConsiderCacheHolders(const PlacementQuery& query, const PlacementCandidate& candidate,
                            PrefillPlan* plan) const;
  void ConsiderFinishedPrefills(const PlacementQuery& query, const PlacementCandidate& candidate,
                                PrefillPlan* plan) const;
  void ConsiderStore(const PlacementQuery& query, const PlacementCandidate& candidate,
                     PrefillPlan* plan) const;
  // Considers a fetch from worker `source_id`, which has cached the prompt's first
  // `available_tokens`.
  void ConsiderSource(const PlacementQuery& query, const PlacementCandidate& candidate,
                      const std::string& source_id, uint64_t available_tokens,
                      PrefillPlan* plan) const;
  // Expected time to fetch from the store and to prefill the rest, averaged over a cache hit and a
  // cache miss.
  double ExpectedMsWithStore(const PlacementQuery& query,
                             const PlacementCandidate& candidate) const;
  double FetchMs(const control::WorkerEngine& engine, uint64_t tokens, bool same_zone) const;

  double ZonePenaltyMs(const Worker& worker) const;
  // Cost of a prefill of `tokens` to the streams that run at the worker; negative if batching saves
  // time.
  double InterferenceMs(const Load& load, uint64_t tokens) const;

  runtime::Runtime* const runtime_;
  const std::string zone_;  // zone of this gateway
  const WorkerPool* const pool_;
  const PrefillRate* const prefill_rate_;
  const RoutingSwitches switches_;
};

}  // namespace posthatch::routing
