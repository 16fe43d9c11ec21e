#pragma once

#include <optional>
#include <string>
#include <vector>

#include "posthatch/gateway/backend_directory.h"
#include "posthatch/gateway/link_speed_estimator.h"
#include "posthatch/index/prefix_locator.h"

namespace posthatch::gateway {

// What a routing decision needs to know of a request.
struct RouteQuery {
  const std::string* model = nullptr;
  const index::BlockSeed* seed = nullptr;
  const std::vector<index::BlockHash>* chain = nullptr;
  uint32_t priority = 0;  // of the tenant, 0 to 9
  // Back ends that this request has failed at; not chosen again while there are others.
  const std::vector<std::string>* attempted_backends = nullptr;
};

struct RouteDecision {
  enum class Outcome {
    kChosen,
    kNoCapacity,  // nobody may get new work
    kShed,        // there is room, but not for this priority
  };
  Outcome outcome = Outcome::kNoCapacity;
  BackendPointer backend;
  uint32_t cached_blocks = 0;  // leading blocks believed to be there
  std::string fetch_endpoint;  // where the worker may fetch more from; empty for nowhere
  std::string fetch_source;    // back end id of it
  uint32_t fetch_blocks = 0;   // leading blocks believed to be there
};

// Chooses where a request goes. Workers: the holders of the longest trusted prefixes and two drawn
// at random (by power of two choices, the gateway's zone first) are compared by expected time to
// the first token: waiting plus prefill of what is missing, or its fetch where the measured link
// makes that quicker. Services: the better of two. Event loop thread only.
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
    const index::PrefixHolder* source = nullptr;  // to fetch from
    double cost = 0.0;                            // milliseconds to the first token
  };

  BackendPointer NextRoundRobin(BackendPool* pool, uint64_t revision,
                                const std::vector<std::string>& attempted_backends);
  // An eligible back end but `other` drawn at random, cold ones less often; null if none was drawn.
  BackendPointer SampleEligible(const std::vector<BackendPointer>& from, uint64_t revision,
                                const std::vector<std::string>& attempted_backends,
                                const BackendEntry* other);
  BackendPointer PowerOfTwoChoices(const std::vector<BackendPointer>& from, uint64_t revision,
                                   const std::vector<std::string>& attempted_backends);
  // The better of two of this zone unless they are busy, then of all; last a search through all.
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
  // Whether one more request of this priority may go there.
  bool HasCapacity(const BackendEntry& entry, uint32_t priority) const;
  // Holders of the longest prefixes that may be chosen.
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
