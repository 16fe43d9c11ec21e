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

// The cost model of placement: what a prompt's way through a candidate costs, in milliseconds of
// expected time to its first event, with penalties for what it does to others. It also decides from
// where the candidate fetches cached segments, since that is where it is cheapest. Owned by Placer;
// event loop thread only.
class PlacementCost {
 public:
  // `pool` and `prefill_rate` outlive it.
  PlacementCost(runtime::Runtime* runtime, std::string zone, const WorkerPool* pool,
                const PrefillRate* prefill_rate, const RoutingSwitches& switches)
      : runtime_(runtime),
        zone_(std::move(zone)),
        pool_(pool),
        prefill_rate_(prefill_rate),
        switches_(switches) {}

  // Cost of a prompt at the candidate. Sets all of `placement` but `save_endpoint`.
  double Estimate(const PlacementQuery& query, const PlacementCandidate& candidate,
                  Placement* placement) const;
  // Whether a call to the worker needs a new connection.
  bool NeedsNewConnection(const PlacementQuery& query, const Worker& worker) const;

 private:
  // What a candidate fetches of a prompt before it prefills the rest.
  struct PrefillPlan {
    double ms = 0;              // both together
    uint64_t fetch_tokens = 0;  // 0 with a store, whose contents are not known
    std::string fetch_endpoint;
  };

  // The quickest plan.
  PrefillPlan PlanPrefill(const PlacementQuery& query, const PlacementCandidate& candidate) const;
  // Each replaces `plan` by its own where that is quicker: with a fetch from workers that have
  // cached the prompt's beginning; from one that has just prefilled the shared segments; from the
  // store.
  void ConsiderHolders(const PlacementQuery& query, const PlacementCandidate& candidate,
                       PrefillPlan* plan) const;
  void ConsiderFinishedPrefills(const PlacementQuery& query, const PlacementCandidate& candidate,
                                PrefillPlan* plan) const;
  void ConsiderStore(const PlacementQuery& query, const PlacementCandidate& candidate,
                     PrefillPlan* plan) const;
  // A fetch from the worker `source_id`, which has the prompt's first `available_tokens`.
  void ConsiderSource(const PlacementQuery& query, const PlacementCandidate& candidate,
                      const std::string& source_id, uint64_t available_tokens,
                      PrefillPlan* plan) const;
  // The store may have the shared segments or not: the mean over both.
  double ExpectedMsWithStore(const PlacementQuery& query,
                             const PlacementCandidate& candidate) const;
  double FetchMs(const control::WorkerEngine& engine, uint64_t tokens, bool same_zone) const;

  double ZonePenaltyMs(const Worker& worker) const;
  // What a prefill of `tokens` costs the streams that run there; negative: what batching saves.
  double InterferenceMs(const Load& load, uint64_t tokens) const;

  runtime::Runtime* const runtime_;
  const std::string zone_;  // of this gateway
  const WorkerPool* const pool_;
  const PrefillRate* const prefill_rate_;
  const RoutingSwitches switches_;
};

}  // namespace posthatch::routing
