#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "posthatch/control/control.pb.h"
#include "posthatch/index/prefix_locator.h"
#include "posthatch/routing/in_flight_prefills.h"
#include "posthatch/routing/prefix_stores.h"
#include "posthatch/routing/routing_switches.h"
#include "posthatch/routing/worker_pool.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::routing {

// What placing needs to know of a prompt.
struct PromptShape {
  std::vector<uint64_t> cumulative_tokens;  // tokens of the first n+1 segments
  // Equal for prompts that may share all but their last segment.
  uint64_t affinity = 0;
  uint64_t shared_tokens = 0;  // of all but the last segment

  uint64_t total_tokens() const { return cumulative_tokens.empty() ? 0 : cumulative_tokens.back(); }
  uint64_t TokensInFirst(uint32_t segments) const;
};

struct PlacementQuery {
  const control::TrafficService* service = nullptr;
  const PromptShape* prompt = nullptr;  // null: the call is no prompt
  // Who keeps leading segments of it, under any revision that workers serve, as far as that may be
  // trusted.
  std::vector<index::PrefixHolder> holders;
  // Where prompts with the same shared segments were sent to a moment ago; null: not known.
  const InFlightPrefills* in_flight_prefills = nullptr;
  // Workers that this call has failed at; chosen again only when nothing else is left.
  const std::vector<std::string>* attempted_workers = nullptr;
  // How old kept connections may be that the call may use; see http::CallOptions.
  double max_idle_fraction = 0.75;
  // Where its segments are saved and may be fetched from; null: nowhere.
  const PrefixStore* store = nullptr;
};

struct Placement {
  WorkerPointer worker;          // null: nobody may get new work
  uint64_t uncached_tokens = 0;  // of the prompt, believed not to be kept there
  uint64_t fetch_tokens = 0;     // of those, kept at `fetch_endpoint`
  std::string fetch_endpoint;    // empty: nothing is fetched
  std::string save_endpoint;     // of the store that is to keep it too; empty: none
  double expected_ms = 0;        // to the first event, by load and reading alone
};

// Measures how fast workers read prompts, in tokens a millisecond: the running median, since some
// measurements contain waiting, and others prompts that were kept though nobody knew.
class PrefillRate {
 public:
  double tokens_per_ms() const { return rate_; }
  double MillisecondsFor(uint64_t tokens) const { return static_cast<double>(tokens) / rate_; }
  // `tokens` were read and the first event came `elapsed` after the dispatch.
  void Record(uint64_t tokens, runtime::Duration elapsed);

 private:
  double rate_ = 30;
  uint32_t measurements_ = 0;
};

// Chooses the worker for a call by the expected time to its first event: measured wait, tokens that
// this gateway has sent there and that are not read yet, and reading what is not kept, or fetching
// it from its holder where that is quicker. Candidates are the holders, a few workers that every
// gateway ranks first for the prompt (rendezvous hashing, so that calls which share a prefix meet
// without any message), and two at random. Event loop thread only.
class Placer {
 public:
  Placer(runtime::Runtime* runtime, std::string zone, WorkerPool* pool,
         const RoutingSwitches& switches = RoutingSwitches())
      : runtime_(runtime), zone_(std::move(zone)), pool_(pool), switches_(switches) {}

  Placement Choose(const PlacementQuery& query);
  PrefillRate* prefill_rate() { return &prefill_rate_; }

 private:
  struct Candidate {
    WorkerPointer worker;
    uint64_t cached_tokens = 0;         // as the index says, or being read there at this moment
    uint64_t likely_cached_tokens = 0;  // likely to be kept, by the rank
  };

  Placement ChooseForPrompt(const PlacementQuery& query, const std::vector<WorkerPointer>& usable);
  Placement ChooseForCall(const PlacementQuery& query, const std::vector<WorkerPointer>& usable);
  // The worker of the own zone with the fewest tokens to read among those that a connection is kept
  // to; null: there is none.
  WorkerPointer LeastLoadedConnected(const PlacementQuery& query,
                                     const std::vector<WorkerPointer>& usable) const;
  // Workers among which one is drawn that may just be free.
  std::vector<size_t> RandomCandidatePool(const std::vector<WorkerPointer>& usable) const;
  // Whether a call to the worker needs a new connection.
  bool NeedsNewConnection(const PlacementQuery& query, const Worker& worker) const;
  std::vector<WorkerPointer> UsableWorkers(const PlacementQuery& query) const;
  std::vector<Candidate> MakeCandidates(const PlacementQuery& query,
                                        const std::vector<WorkerPointer>& usable) const;
  // Tokens of the prompt that the worker keeps, or is reading already.
  static uint64_t CachedTokens(const PlacementQuery& query, const Worker& worker);
  // Where the shared segments may be kept, though the index knows of nobody: the worker that all
  // gateways rank first among those of the same revision. A miss there costs next to nothing.
  void GuessFetchSource(const PlacementQuery& query, const std::vector<WorkerPointer>& usable,
                        Placement* placement) const;
  // Milliseconds until the prompt is read if the store is asked for its shared segments, which it
  // may or may not keep.
  double ExpectedMsWithStore(const PlacementQuery& query, const Candidate& candidate) const;
  // Fills in what is missing at the candidate and where to fetch from; returns the expected
  // milliseconds to the first event.
  double EstimateCost(const PlacementQuery& query, const Candidate& candidate,
                      Placement* placement) const;
  // Takes the shared segments from a worker that has just read them, where that is quicker than
  // `reading_ms`, which it then lowers.
  void ConsiderPrefillSource(const PlacementQuery& query, const Candidate& candidate,
                             double* prefill_ms, Placement* placement) const;
  // What reading `read_tokens` costs the streams that run there, or what gathering saves.
  double InterferenceMs(const Load& load, uint64_t read_tokens) const;
  double FetchMs(const control::WorkerEngine& engine, uint64_t tokens, bool same_zone) const;
  // Whether some holder keeps all shared segments under that model revision, as far as the index
  // knows.
  static bool SharedSegmentsAreCached(const PlacementQuery& query, uint64_t revision);

  runtime::Runtime* const runtime_;
  const std::string zone_;
  WorkerPool* const pool_;
  const RoutingSwitches switches_;
  PrefillRate prefill_rate_;
};

}  // namespace posthatch::routing
