#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "posthatch/control/control.pb.h"
#include "posthatch/index/prefix_locator.h"
#include "posthatch/routing/in_flight_prefills.h"
#include "posthatch/routing/prefix_stores.h"
#include "posthatch/routing/worker_pool.h"

// Input and result of the choice of a worker (Placer).
namespace posthatch::routing {

// Fewer tokens are prefilled sooner than fetched.
inline constexpr uint64_t kMinTokensToFetch = 512;

// What placement needs to know of a prompt. All counts are in tokens.
struct PromptShape {
  std::vector<uint64_t> cumulative_tokens;  // of the first n+1 segments
  // Equal for prompts that may share all but their last segment.
  uint64_t affinity = 0;
  uint64_t shared_tokens = 0;  // of all but the last segment

  uint64_t total_tokens() const { return cumulative_tokens.empty() ? 0 : cumulative_tokens.back(); }
  uint64_t TokensInFirst(uint32_t segments) const;
};

struct PlacementQuery {
  const control::TrafficService* service = nullptr;
  const PromptShape* prompt = nullptr;  // null: the call is no prompt
  // Who caches leading segments of it, under any revision that workers serve, as far as the index
  // is trusted.
  std::vector<index::PrefixHolder> holders;
  // Where prompts with the same shared segments were sent to a moment ago; null: not known.
  const InFlightPrefills* in_flight_prefills = nullptr;
  // Ids of workers that this call has failed at; chosen again only when nothing else is left.
  const std::vector<std::string>* attempted_workers = nullptr;
  // How long a pooled connection may have been idle that the call may use; see http::CallOptions.
  double max_idle_fraction = 0.75;
  // Where its segments are saved and may be fetched from; null: nowhere.
  const PrefixStore* store = nullptr;
};

struct Placement {
  WorkerPointer worker;          // null: none may get new work
  uint64_t uncached_tokens = 0;  // of the prompt, believed not to be cached there
  uint64_t fetch_tokens = 0;     // of those, cached at `fetch_endpoint`
  std::string fetch_endpoint;    // empty: nothing is fetched
  std::string save_endpoint;     // of the store that is to keep it too; empty: none
  double expected_ms = 0;        // to the first event, by queue and prefill alone
};

// A worker that may be chosen for a prompt.
struct PlacementCandidate {
  WorkerPointer worker;
  uint64_t cached_tokens = 0;         // by the index, or being prefilled there now
  uint64_t likely_cached_tokens = 0;  // estimated by its rank, where no holder is known
};

// Whether some holder has all shared segments under that model revision, as far as the index knows.
bool SharedSegmentsAreCached(const PlacementQuery& query, uint64_t revision);

}  // namespace posthatch::routing
