#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "posthatch/control/control.pb.h"
#include "posthatch/control/state/revision_timeline.h"
#include "posthatch/routing/load_reporter.h"
#include "posthatch/routing/outlier_detector.h"
#include "posthatch/routing/routing_switches.h"
#include "posthatch/routing/slow_start_limiter.h"
#include "posthatch/routing/worker.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::routing {

struct WorkerPoolOptions {
  // Time from setting a new model revision until no request may start on an older one.
  runtime::Duration revision_deadline = std::chrono::seconds(12);
  // The leader's loading marks (workers that are loading weights) apply only while its inventory is
  // younger than this.
  runtime::Duration loading_mark_ttl = std::chrono::seconds(4);
  RoutingSwitches switches;
};

// Tracks the workers of each service and which of them are eligible for new work, by inventory,
// draining marks, evacuations, model revisions, slow start, and health as observed in dispatches
// (outlier ejection). Owned by TrafficGateway; event loop thread only.
class WorkerPool {
 public:
  // Every object passed by pointer must outlive this pool.
  WorkerPool(runtime::Runtime* runtime, WorkerPoolOptions options, SlowStartLimiter* limiter,
             LoadReporter* loads, const control::RevisionTimeline* revisions);

  // Applies the fleet state and the inventory that this gateway has read itself (null if it is not
  // newer than the inventory in `state`). `leader_inventory_age` is the age of the inventory in
  // `state`.
  void Update(const control::FleetState& state, const control::Inventory* local_inventory,
              runtime::Duration leader_inventory_age);

  // Workers of a service that are in the inventory and neither draining nor evacuated, sorted by
  // worker id. Valid until the next Update.
  const std::vector<WorkerPointer>& WorkersOf(const std::string& service) const;

  // Distinct model revisions that the workers of a service are known to serve.
  std::vector<uint64_t> RevisionsServed(const std::string& service) const;

  // Whether the worker may get new work now; checked right before each dispatch.
  bool IsEligible(const Worker& worker) const;
  // Whether the worker may get new work if no worker is eligible: ejected and overloaded workers
  // are accepted too.
  bool IsEligibleAsLastResort(const Worker& worker) const;
  bool InSlowStart(const Worker& worker) const;
  // Decaying average of how much later than expected the worker's first events came, in
  // milliseconds.
  double ExpectedWait(const Worker& worker) const;
  // Whether loads of other zones are received through aggregators, and so with a delay.
  bool RemoteZoneLoadIsDelayed() const { return load_reporter_->RemoteZoneLoadIsDelayed(); }
  // The worker's load from all gateways.
  Load TotalLoad(const Worker& worker) const;
  // The newest revision that was set for `model`; 0 if none is known.
  uint64_t TargetRevision(const std::string& model) const;
  // How long `revision` of `model` has been outdated, as far as this gateway knows; nullopt if it
  // is the newest.
  std::optional<runtime::Duration> OutdatedFor(const std::string& model, uint64_t revision) const;
  // Remaining time that a prompt dispatched under `revision` may wait for its first token; if not
  // positive, the prompt must be cancelled. nullopt if `revision` is the newest.
  std::optional<runtime::Duration> TimeUntilCancellation(const std::string& model,
                                                         uint64_t revision) const;
  bool IsPastRevisionDeadline(runtime::Duration outdated_for) const {
    return outdated_for > options_.revision_deadline;
  }

  void OnDispatched(Worker* worker, uint64_t pending_tokens);
  // The prompt has been prefilled, or its request has ended.
  void OnPrefillDone(Worker* worker, uint64_t pending_tokens);
  void OnRequestEnded(Worker* worker);
  void RecordWait(Worker* worker, double milliseconds);
  // A transfer of cached segments to the worker from `source_endpoint` was much too slow.
  void OnSlowTransfer(Worker* worker, const std::string& source_endpoint);
  // Whether cached segments may be transferred to or from the worker now.
  bool MayTransfer(const Worker& worker) const;
  void OnSuccess(Worker* worker);
  // A dispatch to the worker failed.
  void OnFailure(Worker* worker, WorkerFailure failure);
  // The worker rejected a request without running it.
  void OnRejected(Worker* worker);
  void OnRevisionSeen(Worker* worker, uint64_t revision);

 private:
  struct SlowStart {
    runtime::Duration duration{0};
    double requests_per_second = 0;
  };

  void PublishLoad(const Worker& worker);
  void AddOrUpdateWorker(const control::Backend& backend, bool loading);
  void ApplyEvacuations(const control::FleetState& state);
  void RebuildServices();
  bool AcceptsNewWork(const Worker& worker) const;
  const SlowStart* SlowStartOf(const Worker& worker) const;

  runtime::Runtime* const runtime_;
  const WorkerPoolOptions options_;
  SlowStartLimiter* const limiter_;
  LoadReporter* const load_reporter_;
  const control::RevisionTimeline* const revisions_;
  const OutlierDetector outlier_detector_;
  absl::flat_hash_map<std::string, WorkerPointer> workers_;
  absl::flat_hash_map<std::string, std::vector<WorkerPointer>> services_;
  absl::flat_hash_map<std::string, SlowStart> slow_starts_;      // keyed by service name
  absl::flat_hash_map<std::string, uint64_t> target_revisions_;  // keyed by model name
  bool inventory_known_ = false;
};

}  // namespace posthatch::routing
