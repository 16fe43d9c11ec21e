#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "posthatch/control/control.pb.h"
#include "posthatch/http/http.h"
#include "posthatch/index/prefix_locator.h"
#include "posthatch/routing/in_flight_prefills.h"
#include "posthatch/routing/prefix_stores.h"
#include "posthatch/routing/worker_pool.h"

// Input and result of worker selection (Placer).
namespace posthatch::routing {

// Prefilling fewer tokens than this is faster than fetching them.
inline constexpr uint64_t kMinTokensToFetch = 512;

// The properties of a prompt that placement depends on. All counts are in tokens.
struct PromptShape {
  std::vector<uint64_t> cumulative_tokens;  // [n]: sum of the first n+1 segments
  // Equal for prompts that may share all but their last segment.
  uint64_t affinity = 0;
  uint64_t shared_tokens = 0;  // sum of all segments but the last

  uint64_t total_tokens() const { return cumulative_tokens.empty() ? 0 : cumulative_tokens.back(); }
  uint64_t TokensInFirst(uint32_t segments) const;
};

struct PlacementQuery {
  const control::TrafficService* service = nullptr;
  const PromptShape* prompt = nullptr;  // null if the call is not a prompt
  // Cache holders of a prefix of the prompt, under any model revision that workers serve. Only
  // those for which the index is trusted.
  std::vector<index::PrefixHolder> holders;
  // Workers to which prompts with the same shared segments were recently dispatched; null if
  // unknown.
  const InFlightPrefills* in_flight_prefills = nullptr;
  // Ids of workers at which this call has failed; chosen again only if no other worker is eligible.
  const std::vector<std::string>* attempted_workers = nullptr;
  // Which pooled connections the call may use.
  http::PooledConnectionRules pooled_connections;
  // The store where the prompt's segments are saved and may be fetched from; null if there is none.
  const PrefixStore* store = nullptr;
};

struct Placement {
  WorkerPointer worker;          // null if no worker is eligible
  uint64_t uncached_tokens = 0;  // prompt tokens not known to be cached at `worker`
  uint64_t fetch_tokens = 0;     // uncached tokens to fetch from `fetch_endpoint`
  std::string fetch_endpoint;    // empty if nothing is fetched
  std::string save_endpoint;     // store to save the prompt to; empty if none
  double expected_ms = 0;        // time to the first event: queue, fetch and prefill
};

// A worker that may be chosen for a prompt.
struct PlacementCandidate {
  WorkerPointer worker;
  uint64_t cached_tokens = 0;         // according to the index, or in prefill now
  uint64_t likely_cached_tokens = 0;  // estimated by rank if no cache holder is known
};

// Whether the index knows a cache holder of all shared segments under this model revision.
bool SharedSegmentsAreCached(const PlacementQuery& query, uint64_t revision);

}  // namespace posthatch::routing
