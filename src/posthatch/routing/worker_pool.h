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
  // From when a model revision is named until no request may start on an older one.
  runtime::Duration revision_deadline = std::chrono::seconds(12);
  // The leader's marks of workers that load weights count while its inventory is younger than this.
  runtime::Duration loading_mark_ttl = std::chrono::seconds(4);
  RoutingSwitches switches;
};

// Which workers each service has, and which of them may get new work: by inventory, draining marks,
// evacuations, model revisions, slow start, and health as dispatches show it (outlier ejection).
// Owned by TrafficGateway; event loop thread only.
class WorkerPool {
 public:
  // All outlive it.
  WorkerPool(runtime::Runtime* runtime, WorkerPoolOptions options, SlowStartLimiter* limiter,
             LoadReporter* loads, const control::RevisionTimeline* revisions);

  // Applies the fleet's state, together with the inventory as this gateway has read it itself
  // (null: not newer than the one in `state`). `leader_inventory_age` is the age of the one in
  // `state`.
  void Update(const control::FleetState& state, const control::Inventory* local_inventory,
              runtime::Duration leader_inventory_age);

  // Workers of a service that are in the inventory and neither draining nor evacuated, by id. Valid
  // until the next Update.
  const std::vector<WorkerPointer>& WorkersOf(const std::string& service) const;

  // Model revisions that they serve, without repetition, as far as known.
  std::vector<uint64_t> RevisionsServed(const std::string& service) const;

  // Whether new work may go there now; checked right before each dispatch.
  bool IsEligible(const Worker& worker) const;
  // The same for when no worker is eligible: accepts ejected and overloaded workers too.
  bool IsEligibleAsLastResort(const Worker& worker) const;
  bool InSlowStart(const Worker& worker) const;
  // Milliseconds by which first events came later there than expected; a decaying average.
  double ExpectedWait(const Worker& worker) const;
  // Whether other zones' loads come by way of aggregators, and so later.
  bool RemoteZoneLoadIsDelayed() const { return load_reporter_->RemoteZoneLoadIsDelayed(); }
  // The load of all gateways there.
  Load TotalLoad(const Worker& worker) const;
  // The newest revision that was ordered for `model`; 0 if none is known.
  uint64_t TargetRevision(const std::string& model) const;
  // For how long `revision` of `model` has been outdated, as far as this gateway knows; nothing if
  // it is the newest.
  std::optional<runtime::Duration> OutdatedFor(const std::string& model, uint64_t revision) const;
  // For how long yet a prompt that has been dispatched under `revision` may wait there for its
  // first token; negative: it must be cancelled. Nothing if it is the newest.
  std::optional<runtime::Duration> TimeToBegin(const std::string& model, uint64_t revision) const;
  bool IsPastRevisionDeadline(runtime::Duration outdated_for) const {
    return outdated_for > options_.revision_deadline;
  }

  void OnDispatched(Worker* worker, uint64_t pending_tokens);
  // The prompt has been prefilled, or its request has ended.
  void OnPrefillDone(Worker* worker, uint64_t pending_tokens);
  void OnRequestEnded(Worker* worker);
  void RecordWait(Worker* worker, double milliseconds);
  // A transfer of cached segments to it from the worker at `source_endpoint` took much too long.
  void OnSlowTransfer(Worker* worker, const std::string& source_endpoint);
  // Whether cached segments may be transferred to or from it now.
  bool MayTransfer(const Worker& worker) const;
  void OnSuccess(Worker* worker);
  // A dispatch failed.
  void OnFailure(Worker* worker, WorkerFailure failure);
  // It rejected a request without running it.
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
  absl::flat_hash_map<std::string, SlowStart> slow_starts_;      // by service
  absl::flat_hash_map<std::string, uint64_t> target_revisions_;  // by model
  bool inventory_known_ = false;
};

}  // namespace posthatch::routing
