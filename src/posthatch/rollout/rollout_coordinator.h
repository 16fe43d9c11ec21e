#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "posthatch/control/control.pb.h"
#include "posthatch/control/state/revision_timeline.h"
#include "posthatch/rollout/rollout_metrics.h"
#include "posthatch/rollout/rollout_pace.h"
#include "posthatch/rollout/worker_command_format.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::rollout {

struct RolloutOptions {
  std::string issuer;  // node id of this controller, sent with commands
  // How long a new leader sends no command to workers that the previous leader may have commanded:
  // those commands have ended by then. Other workers are commanded without this delay.
  runtime::Duration handover_period = std::chrono::seconds(3);
  // Time from publishing the mark that stops new requests to a worker until its command is sent.
  // The mark has reached the gateways by then.
  runtime::Duration announce_period = std::chrono::milliseconds(150);
  runtime::Duration tick_interval = std::chrono::milliseconds(50);
  runtime::Duration poll_interval = std::chrono::milliseconds(200);
  runtime::Duration call_timeout = std::chrono::milliseconds(600);
  // Time after which the command is repeated to a worker that has not finished loading.
  runtime::Duration load_timeout = std::chrono::seconds(6);
  // Time since its first command after which a worker counts as stuck. It no longer occupies a
  // slot, but is still polled and commanded.
  runtime::Duration stuck_after = std::chrono::seconds(6);
  // Time from setting a revision until no worker may begin a request under an older one.
  runtime::Duration revision_deadline = std::chrono::seconds(12);
  RolloutPaceOptions pace;
};

// Rolls model revisions out to workers, a few at a time: a canary first, and the others once it
// serves the new revision, or once waiting would miss the deadline (rollout_pace.h). Active on the
// leading controller only, whose term is the fencing token of its commands. Keeps no state that
// must survive a change of leader: a command is sent only once the worker's marks (loading,
// recently_ordered) are in the replicated inventory, from which a new leader learns the progress of
// the rollout and which workers the previous leader may have commanded.
//
// Stages of a worker: announced (marked; gets no new requests) -> command sent -> loading (polled
// for its status) -> finished. A command that is lost or rejected is sent again.
//
// Owned by the controller process; event loop thread only.
class RolloutCoordinator {
 public:
  struct Dependencies {
    const WorkerCommandFormat* format = nullptr;
    // The fleet state as of the last applied command.
    std::function<const control::FleetState&()> fleet;
    // The times at which revisions were set; outlives the coordinator.
    const control::RevisionTimeline* revisions = nullptr;
    // Whether this controller may send commands now: it is the leader, confirmed by a majority.
    std::function<bool()> may_command;
    // Publishes the inventory again, after a change of the marks.
    std::function<void()> publish;
  };

  RolloutCoordinator(runtime::Runtime* runtime, RolloutOptions options, Dependencies dependencies);

  // Called when the controller becomes leader of `term` or stops leading. Resets all state.
  void OnLeadership(bool is_leader, uint64_t term);
  // Adds the known revisions, and the marks of workers in progress, to an inventory read from the
  // platform.
  void Annotate(control::Inventory* inventory) const;

  size_t workers_in_progress() const { return active_.size(); }

 private:
  enum class Stage {
    kAnnounced,    // marked; no command yet
    kCommandSent,  // waiting for the worker's response
    kLoading,      // polled until it serves the target or `load_timeout` expires
  };
  // State of a worker in progress.
  struct Progress {
    std::string model;
    std::string endpoint;
    uint64_t target = 0;
    Stage stage = Stage::kAnnounced;
    runtime::MonotonicTime stage_started_at;
    runtime::MonotonicTime next_poll_at;  // next status poll, while loading
    std::optional<runtime::MonotonicTime> first_commanded_at;
    bool overdue = false;      // whether the worker was overdue when it was started
    uint64_t call_number = 0;  // number of the call in flight; other responses are ignored
    std::unique_ptr<http::Call> call;
  };
  // Progress of a model's rollout as observed by this leader.
  struct Rollout {
    uint64_t target = 0;
    runtime::MonotonicTime first_seen_at;
    bool finished = false;
    size_t finished_loads = 0;
    runtime::Duration total_load_duration{0};
  };

  void Tick();
  // Starts as many outdated workers as may be in progress.
  void StartNextWorkers();
  struct OutdatedWorker {
    const control::Backend* backend = nullptr;
    runtime::Duration time_left{0};
  };
  // Summary of a model's workers in the replicated inventory.
  struct ModelSurvey {
    uint64_t target_revision = 0;
    size_t workers = 0;
    size_t in_progress = 0;
    size_t occupied_slots = 0;                  // in_progress without stuck and overdue workers
    size_t outdated = 0;                        // excludes workers in progress
    std::vector<runtime::Duration> times_left;  // excludes overdue workers
    runtime::Duration min_time_left{0};         // includes workers in progress
    runtime::Duration max_load_duration{0};     // longest elapsed time of loads that occupy slots
  };
  struct Survey {
    std::map<std::string, ModelSurvey> models;
    std::vector<OutdatedWorker> outdated;  // workers that may be started, in inventory order
  };

  // Summarizes the inventory; also updates proven_revisions_.
  Survey SurveyFleet();
  // Updates metrics, and writes an event when a rollout starts or finishes.
  void ReportProgress(const Survey& survey);
  void SurveyProgress(const std::string& worker_id, ModelSurvey* model) const;
  // Time until no request may begin under `revision`; revision_deadline if it is the newest.
  runtime::Duration TimeLeft(const std::string& model, uint64_t revision) const;
  // Zero if the worker has not been commanded yet.
  runtime::Duration TimeSinceFirstCommand(const Progress& progress) const;
  // Maximum number of a model's workers that may occupy slots at one time.
  size_t MaxConcurrentWorkers(const std::string& model, const ModelSurvey& survey) const;
  void StartWorker(const control::Backend& worker, uint64_t target, bool overdue);
  bool InLeaderHandover() const { return runtime_->clock->Now() < handover_until_; }
  bool RecentlyCommanded(const std::string& worker_id) const;
  // The worker's entry in the replicated inventory; null if there is none.
  const control::Backend* FindPublished(const std::string& worker_id) const;
  void Advance(const std::string& worker_id, Progress* progress);
  void SendCommand(const std::string& worker_id, Progress* progress);
  void RequestStatus(const std::string& worker_id, Progress* progress);
  // `done` gets null if the call failed. It is not called if the worker is no longer in progress or
  // a newer call was started.
  void StartCall(const std::string& worker_id, Progress* progress, http::Request request,
                 http::CallOptions options, std::function<void(const http::Response*)> done);
  http::CallOptions MakeCallOptions() const;
  void OnCommandResult(const std::string& worker_id, WorkerCommandResult result);
  // `source`, for the log: which response told the status.
  void OnStatus(const std::string& worker_id, const WorkerStatus& status, std::string_view source);
  void FinishWorker(const std::string& worker_id, std::string_view source);
  uint64_t RevisionOf(const control::Backend& worker) const;

  runtime::Runtime* const runtime_;
  const RolloutOptions options_;
  const Dependencies dependencies_;
  bool leading_ = false;
  uint64_t term_ = 0;
  runtime::MonotonicTime handover_until_;
  uint64_t last_call_ = 0;
  std::map<std::string, Progress> active_;
  std::map<std::string, runtime::MonotonicTime> commanded_at_;  // keyed by worker id: last command
  std::map<std::string, uint64_t> revisions_;         // keyed by worker id: last reported revision
  std::map<std::string, uint64_t> proven_revisions_;  // keyed by model: newest revision served
  std::map<std::string, Rollout> rollouts_;           // keyed by model
  RolloutMetrics metrics_;
  runtime::Timer tick_timer_;
};

}  // namespace posthatch::rollout
