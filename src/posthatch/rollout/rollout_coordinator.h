#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "posthatch/control/control.pb.h"
#include "posthatch/control/state/revision_timeline.h"
#include "posthatch/rollout/rollout_metrics.h"
#include "posthatch/rollout/rollout_pace.h"
#include "posthatch/rollout/worker_command_format.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::rollout {

struct RolloutOptions {
  std::string issuer;  // this controller's node id, sent with commands
  // How long a new leader sends no command to workers that the previous leader may have commanded:
  // those commands have ended by then. Other workers need no wait.
  runtime::Duration handover_period = std::chrono::seconds(3);
  // From the mark that keeps new requests away from a worker until it gets its command: the mark
  // has reached the gateways by then.
  runtime::Duration announce_period = std::chrono::milliseconds(150);
  runtime::Duration tick_interval = std::chrono::milliseconds(50);
  runtime::Duration poll_interval = std::chrono::milliseconds(200);
  runtime::Duration call_timeout = std::chrono::milliseconds(600);
  // A worker that has not loaded by then gets its command again.
  runtime::Duration load_timeout = std::chrono::seconds(6);
  // A worker that was first commanded so long ago gives its place to another; it is polled and
  // commanded on.
  runtime::Duration stuck_after = std::chrono::seconds(6);
  // From when a revision is named until no worker may begin a request under an older one.
  runtime::Duration revision_deadline = std::chrono::seconds(12);
  RolloutPaceOptions pace;
};

// Rolls model revisions out to workers, a few at a time: a canary first, and the others once it
// serves the new revision, or once waiting would miss the deadline (rollout_pace.h). Active on the
// leading controller only, whose term is the fencing token of its commands. Keeps no state that
// must survive: a worker gets its command only once its marks (loading, recently_ordered) are in
// the replicated inventory, so a new leader sees there how far the rollout got and which workers
// the previous leader may have commanded.
//
// A worker's way: announced (marked, and drained of new requests) -> command sent -> loading
// (polled for its status) -> finished. A command that is lost or rejected is sent again.
//
// Owned by the controller process; event loop thread only.
class RolloutCoordinator {
 public:
  struct Dependencies {
    const WorkerCommandFormat* format = nullptr;
    // The control state's fleet, as of the last applied command.
    std::function<const control::FleetState&()> fleet;
    // When the revisions were named; outlives the coordinator.
    const control::RevisionTimeline* revisions = nullptr;
    // Whether this controller may send commands now: it leads, and a majority confirms it.
    std::function<bool()> may_command;
    // Publishes the inventory again: the marks have changed.
    std::function<void()> publish;
  };

  RolloutCoordinator(runtime::Runtime* runtime, RolloutOptions options, Dependencies dependencies);

  // This controller has become the leader of `term`, or is leader no more. Resets everything.
  void OnLeadership(bool is_leader, uint64_t term);
  // Adds to an inventory, as read from the platform, what this coordinator knows: revisions, and
  // the marks of workers that load or are about to.
  void Annotate(control::Inventory* inventory) const;

  size_t workers_in_progress() const { return active_.size(); }

 private:
  enum class Stage {
    kAnnounced,    // marked; no command yet
    kCommandSent,  // waiting for the worker's response
    kLoading,      // polled until it serves the target, or `load_timeout` is over
  };
  // A worker in progress.
  struct Progress {
    std::string model;
    std::string endpoint;
    uint64_t target = 0;
    Stage stage = Stage::kAnnounced;
    runtime::MonotonicTime stage_started_at;
    runtime::MonotonicTime next_poll_at;  // while loading
    std::optional<runtime::MonotonicTime> first_commanded_at;
    bool overdue = false;      // when it was started
    uint64_t call_number = 0;  // of the running call; responses to others are ignored
    std::unique_ptr<http::Call> call;
  };
  // A roll-out as this leader has seen it.
  struct Rollout {
    uint64_t target = 0;
    runtime::MonotonicTime seen_at;
    bool finished = false;
    size_t loads = 0;  // that have ended
    runtime::Duration loads_took{0};
  };

  void Tick();
  // Starts as many outdated workers as may be in progress.
  void StartNextWorkers();
  struct OutdatedWorker {
    const control::Backend* backend = nullptr;
    runtime::Duration time_left{0};
  };
  // What stands in the replicated inventory of one model.
  struct ModelSurvey {
    uint64_t target_revision = 0;
    size_t workers = 0;
    size_t in_progress = 0;
    size_t places_occupied = 0;  // of those in progress; not by stuck or overdue ones
    size_t outdated = 0;         // and not in progress
    std::vector<runtime::Duration> times_left;  // of outdated workers that are not overdue
    runtime::Duration least_time_left{0};       // of all that have not finished
    runtime::Duration longest_load{0};          // under way, of those that occupy a place
  };
  struct Survey {
    std::map<std::string, ModelSurvey> models;
    std::vector<OutdatedWorker> outdated;  // that may be started, in the inventory's order
  };

  // Also records which revisions are proven.
  Survey SurveyFleet();
  // Tells operators when a roll-out begins and ends, and how far it is.
  void ReportProgress(const Survey& survey);
  void SurveyProgress(const std::string& worker_id, ModelSurvey* model) const;
  // Until no request may begin under `revision`; the whole time while it is the newest.
  runtime::Duration TimeLeft(const std::string& model, uint64_t revision) const;
  // Since its first command; zero before it.
  runtime::Duration LoadingFor(const Progress& progress) const;
  // How many of a model's workers may occupy places at one time.
  size_t MaxConcurrentWorkers(const std::string& model, const ModelSurvey& survey) const;
  void StartWorker(const control::Backend& worker, uint64_t target, bool overdue);
  bool InLeaderHandover() const { return runtime_->clock->Now() < handover_until_; }
  bool RecentlyCommanded(const std::string& worker_id) const;
  // The worker's entry in the replicated inventory; null if there is none.
  const control::Backend* FindPublished(const std::string& worker_id) const;
  void Advance(const std::string& worker_id, Progress* progress);
  void SendCommand(const std::string& worker_id, Progress* progress);
  void RequestStatus(const std::string& worker_id, Progress* progress);
  // `done` gets null if the call failed; it isn't called if the worker is no more in progress or a
  // newer call was started.
  void StartCall(const std::string& worker_id, Progress* progress, http::Request request,
                 std::function<void(const http::Response*)> done);
  void OnCommandResult(const std::string& worker_id, WorkerCommandResult result);
  void OnStatus(const std::string& worker_id, const WorkerStatus& status);
  void FinishWorker(const std::string& worker_id);
  uint64_t RevisionOf(const control::Backend& worker) const;

  runtime::Runtime* const runtime_;
  const RolloutOptions options_;
  const Dependencies dependencies_;
  bool leading_ = false;
  uint64_t term_ = 0;
  runtime::MonotonicTime handover_until_;
  uint64_t last_call_ = 0;
  std::map<std::string, Progress> active_;
  std::map<std::string, runtime::MonotonicTime> commanded_at_;  // by worker, its last command
  std::map<std::string, uint64_t> revisions_;                   // by worker, as its status said
  std::map<std::string, uint64_t> proven_revisions_;            // by model: some worker serves it
  std::map<std::string, Rollout> rollouts_;                     // by model
  RolloutMetrics metrics_;
  runtime::Timer tick_timer_;
};

}  // namespace posthatch::rollout
