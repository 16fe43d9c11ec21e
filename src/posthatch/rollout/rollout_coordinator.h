#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "posthatch/control/control.pb.h"
#include "posthatch/rollout/worker_command_format.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::rollout {

struct RolloutOptions {
  std::string issuer;  // this machine's name in orders
  // How long a new leader leaves alone the workers that the former one may have ordered: its orders
  // are over by then. The others need no wait.
  runtime::Duration handover_period = std::chrono::seconds(3);
  // From the mark that keeps new requests away from a worker until it is ordered: the mark has
  // reached the gateways by then.
  runtime::Duration announce_period = std::chrono::milliseconds(150);
  runtime::Duration tick_interval = std::chrono::milliseconds(50);
  runtime::Duration poll_interval = std::chrono::milliseconds(200);
  runtime::Duration call_timeout = std::chrono::milliseconds(600);
  // A worker that isn't done by then gets its order again.
  runtime::Duration load_timeout = std::chrono::seconds(6);
  // Workers that load at one time, as a share of all workers of the model; twice as many may be
  // under way, since a worker ends its running requests first.
  double max_loading_fraction = 0.2;
};

// Brings workers to the newest model revisions, a few at a time: one worker first, and the others
// only once it is seen to serve the new revision. Runs on the leading controller alone, whose term
// is the fencing token of its orders. Holds nothing that must survive: a worker is ordered only
// once its mark stands in the replicated inventory, so a new leader sees there how far the roll-out
// got and which workers the former one may have ordered. Owned by the controller process; event
// loop thread only.
class RolloutCoordinator {
 public:
  struct Parts {
    const WorkerCommandFormat* format = nullptr;
    // The control state's fleet, as of the last applied command.
    std::function<const control::FleetState&()> fleet;
    // Whether this controller may order at this moment: it leads, and a majority confirms it.
    std::function<bool()> may_command;
    // The marks have changed: the inventory is to be published again.
    std::function<void()> publish;
  };

  RolloutCoordinator(runtime::Runtime* runtime, RolloutOptions options, Parts parts);

  // This controller leads `term` from now on, or leads no more.
  void OnLeadership(bool is_leader, uint64_t term);
  // Adds to a reading of the inventory what this coordinator knows: newest revisions, and marks of
  // workers that load or are about to.
  void Annotate(control::Inventory* inventory) const;

  size_t workers_in_progress() const { return active_.size(); }

 private:
  enum class Stage { kAnnounced, kCommandSent, kLoading };
  struct Progress {
    std::string model;
    std::string endpoint;
    uint64_t target = 0;
    Stage stage = Stage::kAnnounced;
    runtime::MonotonicTime stage_started_at;  // of the stage
    runtime::MonotonicTime next_poll_at;      // while loading
    uint64_t call_number = 0;                 // of the running call; answers to others are ignored
    std::unique_ptr<http::Call> call;
  };

  void Tick();
  void StartNextWorkers();
  size_t MaxConcurrentWorkers(const std::string& model, size_t workers) const;
  bool InLeaderHandover() const { return runtime_->clock->Now() < handover_until_; }
  bool RecentlyCommanded(const std::string& worker_id) const;
  // The replicated inventory's entry of a worker; null if it has none.
  const control::Backend* FindPublished(const std::string& worker_id) const;
  void Advance(const std::string& worker_id, Progress* progress);
  void SendCommand(const std::string& worker_id, Progress* progress);
  void RequestStatus(const std::string& worker_id, Progress* progress);
  void Call(const std::string& worker_id, Progress* progress, http::Request request,
            std::function<void(const http::Response*)> done);
  void OnCommandResult(const std::string& worker_id, WorkerCommandResult response);
  void OnStatus(const std::string& worker_id, const WorkerStatus& report);
  void FinishWorker(const std::string& worker_id);
  uint64_t RevisionOf(const control::Backend& worker) const;

  runtime::Runtime* const runtime_;
  const RolloutOptions options_;
  const Parts parts_;
  bool leading_ = false;
  uint64_t term_ = 0;
  runtime::MonotonicTime handover_until_;
  uint64_t last_call_ = 0;
  std::map<std::string, Progress> active_;
  std::map<std::string, runtime::MonotonicTime> commanded_at_;  // by worker, its last order
  std::map<std::string, uint64_t> revisions_;                   // by worker, as seen in reports
  std::map<std::string, uint64_t> proven_revisions_;  // by model: a worker serves this revision
  runtime::Timer tick_timer_;
};

}  // namespace posthatch::rollout
