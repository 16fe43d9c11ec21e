#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "posthatch/control/control.pb.h"
#include "posthatch/routing/load_reporter.h"
#include "posthatch/routing/route_table.h"
#include "posthatch/routing/routing_switches.h"
#include "posthatch/routing/slow_start_limiter.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::routing {

// One worker incarnation as this gateway sees it. Requests keep it alive after it has left the
// list.
struct Worker {
  control::Backend backend;
  bool in_inventory = true;
  bool draining = false;  // stays so: an incarnation that drains never comes back
  bool evacuated = false;
  uint64_t revision = 0;  // newest model revision it was seen to serve; it never falls
  runtime::MonotonicTime slow_start_until;

  uint32_t in_flight = 0;       // dispatched by this gateway and not ended
  uint64_t pending_tokens = 0;  // of those, prompt tokens to be read before the first event
  double wait_ms = 0;           // moving average of measured waits ...
  runtime::MonotonicTime wait_measured_at;  // ... the last time then
  double failure_score = 0;  // rises by one with each failure, fades with each success
  uint32_t ejections = 0;    // in a row
  runtime::MonotonicTime ejected_until;
  uint32_t rejections = 0;  // in a row
  // Moves of kept segments to or from it were slow: none is asked for until then.
  runtime::MonotonicTime no_transfers_until;
  runtime::MonotonicTime overloaded_until;  // it refused for want of room, or was misdirected
};

using WorkerPointer = std::shared_ptr<Worker>;

struct WorkerPoolOptions {
  // From the order of a model revision until nothing may start on an older one.
  runtime::Duration revision_deadline = std::chrono::seconds(12);
  // Marks of workers that load other weights count while the leader's list is younger than this.
  runtime::Duration loading_mark_ttl = std::chrono::seconds(4);
  RoutingSwitches switches;
};

// Which workers there are, service by service, and which may get new work: the inventory, draining
// marks, evacuations, model revisions, cold starts, and health by what dispatches brought (outlier
// ejection). Event loop thread only.
class WorkerPool {
 public:
  WorkerPool(runtime::Runtime* runtime, WorkerPoolOptions options, SlowStartLimiter* limiter,
             LoadReporter* loads);

  // Puts the fleet's state in force, together with this gateway's own reading of the list (null:
  // none that is newer). `leader_inventory_age` is the age of the list in `state`.
  void Update(const control::FleetState& state, const control::Inventory* local_inventory,
              runtime::Duration leader_inventory_age, const RouteTable& routes);

  // Workers of a service that are on the list and neither draining nor evacuated.
  const std::vector<WorkerPointer>& WorkersOf(const std::string& service) const;

  // Model revisions that they serve, as far as that is known.
  std::vector<uint64_t> RevisionsServed(const std::string& service) const;

  // Whether new work may go there now; asked again right before each dispatch.
  bool IsEligible(const Worker& worker) const;
  // As Eligible, for when nothing else is left: takes ejected and busy workers too.
  bool IsEligibleAsLastResort(const Worker& worker) const;
  bool InSlowStart(const Worker& worker) const;
  // Milliseconds by which first events came later than expected there, as measured; fades.
  double ExpectedWait(const Worker& worker) const;
  // Whether what is known of the load in other zones is old.
  bool RemoteZoneLoadIsDelayed() const { return load_reporter_->RemoteZoneLoadIsDelayed(); }
  // What all gateways have under way there.
  Load TotalLoad(const Worker& worker) const;
  // The newest revision that was ordered for `model`; 0 if none is known.
  uint64_t TargetRevision(const std::string& model) const;

  void OnDispatched(Worker* worker, uint64_t pending_tokens);
  // The prompt's tokens have been read, or are no longer waited for.
  void OnPrefillDone(Worker* worker, uint64_t pending_tokens);
  void OnRequestEnded(Worker* worker);
  void RecordWait(Worker* worker, double milliseconds);
  // A move of kept segments to it, from the worker at `source_endpoint`, took much too long.
  void OnSlowTransfer(Worker* worker, const std::string& source_endpoint);
  // Whether kept segments may be moved to or from it now.
  bool MayTransfer(const Worker& worker) const;
  void OnSuccess(Worker* worker);
  // A dispatch failed; a worker that can't be connected to is ejected at once.
  void OnFailure(Worker* worker, bool unreachable);
  // It refused before running.
  void OnRejected(Worker* worker);
  void OnRevisionSeen(Worker* worker, uint64_t revision);

 private:
  struct TargetRevisionState {
    uint64_t revision = 0;
    runtime::MonotonicTime seen_at;
  };
  struct SlowStart {
    runtime::Duration duration{0};
    double requests_per_second = 0;
  };

  void PublishLoad(const Worker& worker);
  void AddOrUpdateWorker(const control::Backend& backend, bool loading);
  void UpdateTargetRevisions(const control::FleetState& state);
  void ApplyEvacuations(const control::FleetState& state);
  void RebuildServices();
  bool AcceptsNewWork(const Worker& worker) const;
  const SlowStart* SlowStartOf(const Worker& worker) const;

  runtime::Runtime* const runtime_;
  const WorkerPoolOptions options_;
  SlowStartLimiter* const limiter_;
  LoadReporter* const load_reporter_;
  absl::flat_hash_map<std::string, WorkerPointer> workers_;
  absl::flat_hash_map<std::string, std::vector<WorkerPointer>> services_;
  absl::flat_hash_map<std::string, SlowStart> slow_starts_;                 // by service
  absl::flat_hash_map<std::string, TargetRevisionState> target_revisions_;  // by model
  bool inventory_known_ = false;
};

}  // namespace posthatch::routing
