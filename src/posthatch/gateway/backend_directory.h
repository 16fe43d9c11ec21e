#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "posthatch/control/control.pb.h"
#include "posthatch/gateway/fleet_lookup.h"
#include "posthatch/gateway/gateway_metrics.h"
#include "posthatch/gateway/gateway_options.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::gateway {

// One back end as this gateway sees it. Attempts keep it alive after it has left the list.
struct BackendEntry {
  control::Backend backend;
  bool in_inventory = true;
  bool draining = false;
  bool evacuated = false;
  bool labels_changed = true;  // since the evacuations were last matched against them

  uint32_t in_flight = 0;                      // dispatched by this gateway and not ended
  uint32_t awaiting_head = 0;                  // of those, without an answer's head
  runtime::MonotonicTime awaiting_head_since;  // newest head, or since `unanswered` left zero
  uint64_t pending_blocks = 0;           // of those, prompt blocks that weren't known to be cached
  double wait_milliseconds = 0;          // moving average of measured waits ...
  runtime::MonotonicTime wait_measured;  // ... the last time then
  uint64_t epoch = 0;                    // newest cache epoch seen in an answer; 0 before the first
  runtime::MonotonicTime slow_start_began;
  uint32_t consecutive_failures = 0;
  uint32_t consecutive_ejections = 0;
  runtime::MonotonicTime ejected_until;
  uint64_t refused_revision = 0;         // it refused this revision before running ...
  runtime::MonotonicTime refused_until;  // ... and isn't asked for it again until then
};

using BackendPointer = std::shared_ptr<BackendEntry>;

// Back ends that may get new work by the list and the evacuations.
struct BackendPool {
  std::vector<BackendPointer> all;
  std::vector<BackendPointer> local;  // those in the gateway's zone
  size_t round_robin_next = 0;        // of round-robin routing
};

// Which back ends there are and which may get new work: the list (with draining marks of the
// leader's and of this gateway's own reading), evacuations, and health by what attempts brought:
// ejection after consecutive failures, and slow start for back ends that are new, came back or lost
// their cache. Event loop thread only.
class BackendDirectory {
 public:
  BackendDirectory(runtime::Runtime* runtime, const GatewayOptions* options,
                   const FleetLookup* lookup, GatewayMetrics* metrics)
      : runtime_(runtime), options_(options), lookup_(lookup), metrics_(metrics) {}

  // Puts the list and evacuations of `state` in force, together with the draining marks of `own`,
  // this gateway's own reading of the list (may be null). A back end that only `own` names is taken
  // as well.
  void Update(const control::FleetState& state, const control::Inventory* local_inventory);

  // Pools by model and by service; null if there is none.
  BackendPool* WorkerPool(const std::string& model);
  BackendPool* ServicePool(const std::string& service);
  // Null if the list doesn't name it.
  BackendPointer Find(const std::string& id) const;

  // Whether new work may go there now: on the list, not draining, not evacuated, not ejected, below
  // its limit. Checked again right at dispatch. `revision` 0 for services.
  bool Eligible(const BackendEntry& entry, uint64_t revision) const;
  // As Eligible, but for a single trial of an ejected back end when nothing else is left.
  bool EligibleForTrial(const BackendEntry& entry) const;
  // Share in (0, 1] of its full load that a back end may have: grows over the slow start.
  double SlowStartShare(const BackendEntry& entry) const;
  // Requests that this gateway may have in flight there now.
  uint32_t Limit(const BackendEntry& entry) const;

  // How long it has kept dispatches waiting without answering any, beyond what answers may take.
  runtime::Duration UnresponsiveTime(const BackendEntry& entry) const;

  // Milliseconds that a request waits there for others, also of other gateways, as measured; fades
  // when it isn't measured again.
  double ExpectedWait(const BackendEntry& entry) const;

  void OnDispatched(BackendEntry* entry, uint64_t pending_blocks);
  // A first piece came `milliseconds` later than its prefill explains.
  void OnWaitMeasured(BackendEntry* entry, double milliseconds);
  // The head of an answer came, or it is no longer waited for: the prompt's blocks are done.
  void OnResponseHead(BackendEntry* entry, uint64_t pending_blocks);
  void OnEnded(BackendEntry* entry);
  void OnSuccess(BackendEntry* entry);
  // An attempt failed. A back end that can't be connected to is ejected at once, any other after
  // the configured number of failures in a row.
  void OnFailure(BackendEntry* entry, bool unreachable = false);
  // It refused before running with `status`; it isn't asked for `revision` again for a moment.
  void OnRefused(BackendEntry* entry, uint64_t revision, int status);
  // An answer named its cache epoch; a new one starts the slow start anew.
  void OnEpoch(BackendEntry* entry, uint64_t epoch);

 private:
  // Whether the list names the back end as it was named before.
  static bool SameInventoryEntry(const control::Backend& left, const control::Backend& right);
  void AddOrUpdate(const control::Backend& backend, bool draining);
  void MarkEvacuated(const control::FleetState& state);
  void RebuildPools();
  void EnterSlowStart(BackendEntry* entry, const std::string& cause);

  runtime::Runtime* const runtime_;
  const GatewayOptions* const options_;
  const FleetLookup* const lookup_;
  GatewayMetrics* const metrics_;
  uint64_t evacuations_index_ = 0;  // of the evacuations that were last matched
  absl::flat_hash_map<std::string, BackendPointer> entries_;
  absl::flat_hash_map<std::string, BackendPool> worker_pools_;
  absl::flat_hash_map<std::string, BackendPool> service_pools_;
};

}  // namespace posthatch::gateway
