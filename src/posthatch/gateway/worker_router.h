#pragma once

#include <optional>
#include <string>
#include <vector>

#include "posthatch/gateway/backend_directory.h"
#include "posthatch/gateway/link_speed_estimator.h"
#include "posthatch/index/prefix_locator.h"

namespace posthatch::gateway {

// The properties of a request that a routing decision depends on.
struct RouteQuery {
  const std::string* model = nullptr;
  const index::BlockSeed* seed = nullptr;
  const std::vector<index::BlockHash>* chain = nullptr;
  uint32_t priority = 0;  // the tenant's priority, 0 to 9
  // Ids of back ends at which attempts of this request failed; they are not chosen again.
  const std::vector<std::string>* attempted_backends = nullptr;
};

struct RouteDecision {
  enum class Outcome {
    kChosen,
    kNoCapacity,  // no back end is eligible
    kShed,        // capacity is reserved for higher priorities
  };
  Outcome outcome = Outcome::kNoCapacity;
  BackendPointer backend;
  uint32_t cached_blocks = 0;  // leading blocks expected in the cache of `backend`
  std::string fetch_endpoint;  // where `backend` may fetch more blocks; empty: nowhere
  std::string fetch_source;    // back end id of fetch_endpoint
  uint32_t fetch_blocks = 0;   // leading blocks expected in the cache of fetch_source
};

// Chooses the back end of a request. Workers: the holders of the longest trusted prefixes and the
// better of two random workers (power of two choices, local zone first) are compared by expected
// time to first token: queueing plus prefill of the missing blocks, or their fetch where the
// measured link is faster. Services: power of two choices by load. Event loop thread only.
class WorkerRouter {
 public:
  WorkerRouter(runtime::Runtime* runtime, const GatewayOptions* options,
               BackendDirectory* directory, index::PrefixLocator* locator,
               const LinkSpeedEstimator* links, GatewayMetrics* metrics)
      : runtime_(runtime),
        options_(options),
        directory_(directory),
        locator_(locator),
        links_(links),
        metrics_(metrics) {}

  RouteDecision RouteInference(const RouteQuery& query);
  RouteDecision RouteService(const std::string& service, uint32_t priority,
                             const std::vector<std::string>& attempted_backends);

 private:
  struct Candidate {
    BackendPointer backend;
    uint32_t cached_blocks = 0;
    const index::PrefixHolder* source = nullptr;  // cache holder to fetch from; null: none
    double cost = 0.0;                            // expected milliseconds to the first token
  };

  BackendPointer NextRoundRobin(BackendPool* pool, uint64_t revision,
                                const std::vector<std::string>& attempted_backends);
  // A random eligible back end other than `excluded`; back ends in slow start are drawn less often.
  // Null if none was found.
  BackendPointer SampleEligible(const std::vector<BackendPointer>& from, uint64_t revision,
                                const std::vector<std::string>& attempted_backends,
                                const BackendEntry* excluded);
  BackendPointer PowerOfTwoChoices(const std::vector<BackendPointer>& from, uint64_t revision,
                                   const std::vector<std::string>& attempted_backends);
  // Power of two choices in the local zone; if that choice is busy, the better of it and a choice
  // from all zones. A full search if both find none.
  BackendPointer LeastLoaded(BackendPool* pool, uint64_t revision,
                             const std::vector<std::string>& attempted_backends);
  BackendPointer SearchAll(const BackendPool& pool, uint64_t revision,
                           const std::vector<std::string>& attempted_backends);
  BackendPointer RouteByPrefix(const RouteQuery& query, BackendPool* pool, RouteDecision* decision);
  void EstimateCost(const std::vector<index::PrefixHolder>& holders, size_t chain_length,
                    Candidate* candidate) const;
  const index::PrefixHolder* BestSource(const std::vector<index::PrefixHolder>& holders,
                                        const Candidate& candidate) const;
  double RelativeLoad(const BackendEntry& entry) const;
  // Whether the back end has capacity for one more request of this priority.
  bool HasCapacity(const BackendEntry& entry, uint32_t priority) const;
  // The eligible holders of the longest prefixes.
  std::vector<Candidate> HolderCandidates(const RouteQuery& query,
                                          const std::vector<index::PrefixHolder>& holders) const;
  void Finish(BackendPointer chosen, uint32_t priority, const std::string& reason,
              RouteDecision* decision);

  runtime::Runtime* const runtime_;
  const GatewayOptions* const options_;
  BackendDirectory* const directory_;
  index::PrefixLocator* const locator_;
  const LinkSpeedEstimator* const links_;
  GatewayMetrics* const metrics_;
};

}  // namespace posthatch::gateway
