#include "posthatch/rollout/rollout_coordinator.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace posthatch::rollout {
namespace {

constexpr int kStatusOk = 200;
constexpr double kMillisecondsPerSecond = 1000;
constexpr size_t kMaxStatusBytes = size_t{1} << 20;
// Values of the field `source` of WeightLoadFinished.
constexpr std::string_view kCommandResponse = "command";
constexpr std::string_view kStatusResponse = "status";
// Interval between ticks while no worker is in progress.
constexpr runtime::Duration kIdleTickInterval = std::chrono::milliseconds(200);

}  // namespace

RolloutCoordinator::RolloutCoordinator(runtime::Runtime* runtime, RolloutOptions options,
                                       Dependencies dependencies)
    : runtime_(runtime),
      options_(std::move(options)),
      dependencies_(std::move(dependencies)),
      metrics_(runtime->metrics),
      tick_timer_(runtime->timers) {}

void RolloutCoordinator::OnLeadership(bool is_leader, uint64_t term) {
  leading_ = is_leader;
  term_ = term;
  active_.clear();
  commanded_at_.clear();
  revisions_.clear();
  proven_revisions_.clear();
  rollouts_.clear();
  ReportProgress({});
  tick_timer_.Cancel();
  if (!is_leader) return;
  handover_until_ = runtime_->clock->Now() + options_.handover_period;
  tick_timer_.Start(kIdleTickInterval, [this] { Tick(); });
}

void RolloutCoordinator::Annotate(control::Inventory* inventory) const {
  std::map<std::string, const control::Backend*> published;
  for (const control::Backend& backend : dependencies_.fleet().inventory().backends()) {
    published[backend.id()] = &backend;
  }
  // Commands of the previous leader may still be in progress, so its marks are kept until this
  // leader may send commands to those workers.
  const bool in_handover = InLeaderHandover();
  for (control::Backend& backend : *inventory->mutable_backends()) {
    const auto known = published.find(backend.id());
    uint64_t revision = RevisionOf(backend);
    bool still_loading = false;
    bool commanded_before = false;
    if (known != published.end()) {
      commanded_before = in_handover && known->second->recently_ordered();
      still_loading =
          in_handover && known->second->loading() && revision <= known->second->model_revision();
      revision = std::max(revision, known->second->model_revision());
    }
    backend.set_model_revision(revision);
    backend.set_loading(still_loading || active_.contains(backend.id()));
    backend.set_recently_ordered(commanded_before || RecentlyCommanded(backend.id()));
  }
}

bool RolloutCoordinator::RecentlyCommanded(const std::string& worker_id) const {
  if (active_.contains(worker_id)) return true;
  const auto commanded = commanded_at_.find(worker_id);
  return commanded != commanded_at_.end() &&
         runtime_->clock->Now() - commanded->second < options_.handover_period;
}

const control::Backend* RolloutCoordinator::FindPublished(const std::string& worker_id) const {
  for (const control::Backend& backend : dependencies_.fleet().inventory().backends()) {
    if (backend.id() == worker_id) return &backend;
  }
  return nullptr;
}

uint64_t RolloutCoordinator::RevisionOf(const control::Backend& worker) const {
  const auto seen = revisions_.find(worker.id());
  const uint64_t reported = seen == revisions_.end() ? 0 : seen->second;
  return std::max(worker.model_revision(), reported);
}

void RolloutCoordinator::Tick() {
  tick_timer_.Start(active_.empty() ? kIdleTickInterval : options_.tick_interval,
                    [this] { Tick(); });
  if (!leading_ || !dependencies_.may_command()) return;
  std::vector<std::string> ids;
  for (const auto& [worker_id, progress] : active_) ids.push_back(worker_id);
  for (const std::string& worker_id : ids) Advance(worker_id, &active_.at(worker_id));
  StartNextWorkers();
}

runtime::Duration RolloutCoordinator::TimeLeft(const std::string& model, uint64_t revision) const {
  const auto since = dependencies_.revisions->OutdatedSince(model, revision);
  if (!since.has_value()) return options_.revision_deadline;
  return options_.revision_deadline - (runtime_->clock->Now() - *since);
}

size_t RolloutCoordinator::MaxConcurrentWorkers(const std::string& model,
                                                const ModelSurvey& survey) const {
  RolloutState state;
  state.workers = survey.workers;
  state.occupied_slots = survey.occupied_slots;
  state.times_left = survey.times_left;
  const auto proven = proven_revisions_.find(model);
  state.is_proven = proven != proven_revisions_.end() && proven->second >= survey.target_revision;
  state.load_duration = survey.max_load_duration;
  const auto rollout = rollouts_.find(model);
  if (rollout != rollouts_.end() && rollout->second.finished_loads > 0) {
    const auto finished_loads = static_cast<int64_t>(rollout->second.finished_loads);
    state.load_duration =
        std::max(state.load_duration, rollout->second.total_load_duration / finished_loads);
  }
  return MaxWorkersInProgress(options_.pace, std::move(state));
}

runtime::Duration RolloutCoordinator::TimeSinceFirstCommand(const Progress& progress) const {
  if (!progress.first_commanded_at.has_value()) return runtime::Duration::zero();
  return runtime_->clock->Now() - *progress.first_commanded_at;
}

void RolloutCoordinator::SurveyProgress(const std::string& worker_id, ModelSurvey* model) const {
  ++model->in_progress;
  const auto found = active_.find(worker_id);
  if (found == active_.end()) {  // commanded by the previous leader
    ++model->occupied_slots;
    return;
  }
  const runtime::Duration elapsed = TimeSinceFirstCommand(found->second);
  if (found->second.overdue || elapsed >= options_.stuck_after) return;
  ++model->occupied_slots;
  model->max_load_duration = std::max(model->max_load_duration, elapsed);
}

RolloutCoordinator::Survey RolloutCoordinator::SurveyFleet() {
  Survey survey;
  for (const control::ModelRevision& revision : dependencies_.fleet().revisions()) {
    ModelSurvey& model = survey.models[revision.model()];
    model.target_revision = revision.revision();
    model.min_time_left = options_.revision_deadline;
  }
  for (const control::Backend& backend : dependencies_.fleet().inventory().backends()) {
    if (backend.kind() != control::BACKEND_KIND_WORKER || backend.draining()) continue;
    ModelSurvey& model = survey.models[backend.model()];
    ++model.workers;
    const bool commanded_before = InLeaderHandover() && backend.recently_ordered();
    const uint64_t revision = RevisionOf(backend);
    const runtime::Duration time_left = TimeLeft(backend.model(), revision);
    model.min_time_left = std::min(model.min_time_left, time_left);
    if (active_.contains(backend.id()) || (commanded_before && backend.loading())) {
      SurveyProgress(backend.id(), &model);
      continue;
    }
    if (revision >= model.target_revision) {
      uint64_t& proven = proven_revisions_[backend.model()];
      proven = std::max(proven, revision);
    } else {
      ++model.outdated;
      if (!IsOverdue(options_.pace, time_left)) model.times_left.push_back(time_left);
      if (revision > 0 && !commanded_before) survey.outdated.push_back({&backend, time_left});
    }
  }
  return survey;
}

void RolloutCoordinator::ReportProgress(const Survey& survey) {
  size_t outdated = 0;
  size_t in_progress = 0;
  runtime::Duration time_left = options_.revision_deadline;
  for (const auto& [name, model] : survey.models) {
    outdated += model.outdated;
    in_progress += model.in_progress;
    const size_t unfinished = model.outdated + model.in_progress;
    Rollout& rollout = rollouts_[name];
    if (unfinished > 0 && rollout.target != model.target_revision) {
      rollout = Rollout();
      rollout.target = model.target_revision;
      rollout.first_seen_at = runtime_->clock->Now();
      runtime_->trace->Event(runtime::Severity::kInfo, "RolloutStarted",
                             {{"model", name},
                              {"revision", model.target_revision},
                              {"outdated", unfinished},
                              {"workers", model.workers},
                              {"time_left_ms", runtime::ToMilliseconds(model.min_time_left)}});
    } else if (unfinished == 0 && rollout.target == model.target_revision && !rollout.finished) {
      rollout.finished = true;
      const runtime::Duration elapsed = runtime_->clock->Now() - rollout.first_seen_at;
      runtime_->trace->Event(runtime::Severity::kInfo, "RolloutFinished",
                             {{"model", name},
                              {"revision", model.target_revision},
                              {"elapsed_ms", runtime::ToMilliseconds(elapsed)}});
    }
    time_left = std::min(time_left, model.min_time_left);
  }
  metrics_.outdated().Set(static_cast<double>(outdated));
  metrics_.in_progress().Set(static_cast<double>(in_progress));
  metrics_.time_left().Set(runtime::ToMilliseconds(time_left) / kMillisecondsPerSecond);
}

void RolloutCoordinator::StartNextWorkers() {
  Survey survey = SurveyFleet();
  ReportProgress(survey);
  std::stable_sort(survey.outdated.begin(), survey.outdated.end(),
                   [](const OutdatedWorker& left, const OutdatedWorker& right) {
                     return left.time_left < right.time_left;
                   });
  std::map<std::string, size_t> slots;
  for (const auto& [name, model] : survey.models) slots[name] = MaxConcurrentWorkers(name, model);
  bool started = false;
  for (const OutdatedWorker& worker : survey.outdated) {
    const std::string& name = worker.backend->model();
    ModelSurvey& model = survey.models[name];
    const bool overdue = IsOverdue(options_.pace, worker.time_left);
    if (!overdue && model.occupied_slots >= slots[name]) continue;
    if (!overdue) ++model.occupied_slots;
    StartWorker(*worker.backend, model.target_revision, overdue);
    started = true;
  }
  if (started) dependencies_.publish();
}

void RolloutCoordinator::StartWorker(const control::Backend& worker, uint64_t target,
                                     bool overdue) {
  Progress& progress = active_[worker.id()];
  progress.model = worker.model();
  progress.endpoint = worker.endpoint();
  progress.target = target;
  progress.overdue = overdue;
  progress.stage_started_at = runtime_->clock->Now();
}

void RolloutCoordinator::Advance(const std::string& worker_id, Progress* progress) {
  const control::Backend* published = FindPublished(worker_id);
  if (published == nullptr) {
    active_.erase(worker_id);
    return;
  }
  const runtime::MonotonicTime now = runtime_->clock->Now();
  switch (progress->stage) {
    case Stage::kAnnounced:
      // The command waits until the marks are replicated, so that a new leader sees that this one
      // may have commanded the worker.
      if (!published->loading() || !published->recently_ordered()) {
        progress->stage_started_at = now;
      } else if (now - progress->stage_started_at >= options_.announce_period) {
        SendCommand(worker_id, progress);
      }
      return;
    case Stage::kCommandSent:
      return;  // ended by the time-out of the call
    case Stage::kLoading:
      if (now - progress->stage_started_at >= options_.load_timeout) {
        SendCommand(worker_id, progress);
      } else if (now >= progress->next_poll_at && progress->call == nullptr) {
        RequestStatus(worker_id, progress);
      }
      return;
  }
}

http::CallOptions RolloutCoordinator::MakeCallOptions() const {
  http::CallOptions call_options;
  call_options.connect_timeout = options_.call_timeout;
  call_options.head_timeout = options_.call_timeout;
  call_options.body_idle_timeout = options_.call_timeout;
  call_options.max_body_bytes = kMaxStatusBytes;
  return call_options;
}

void RolloutCoordinator::StartCall(const std::string& worker_id, Progress* progress,
                                   http::Request request, http::CallOptions options,
                                   std::function<void(const http::Response*)> done) {
  const uint64_t number = ++last_call_;
  progress->call_number = number;
  auto response = std::make_shared<http::Response>();
  const auto end = [this, worker_id, number,
                    done = std::move(done)](const http::Response* complete) {
    const auto found = active_.find(worker_id);
    if (found == active_.end() || found->second.call_number != number) return;
    // The call must not be destroyed within its own callback.
    runtime_->timers->Schedule(
        runtime::Duration::zero(),
        [call = std::shared_ptr<http::Call>(std::move(found->second.call))] {});
    done(complete);
  };
  http::CallObserver observer;
  observer.on_head = [response](const http::Response& head) { *response = head; };
  observer.on_chunk = [response](const std::string& chunk) { response->body.append(chunk); };
  observer.on_end = [response, end] { end(response.get()); };
  observer.on_error = [end](const http::CallError&) { end(nullptr); };
  progress->call = runtime_->http_client->Start(progress->endpoint, std::move(request),
                                                std::move(options), std::move(observer));
}

void RolloutCoordinator::SendCommand(const std::string& worker_id, Progress* progress) {
  LoadWeightsCommand command{worker_id, progress->model, progress->target, options_.issuer, term_};
  progress->stage = Stage::kCommandSent;
  progress->stage_started_at = runtime_->clock->Now();
  commanded_at_[worker_id] = progress->stage_started_at;
  if (!progress->first_commanded_at.has_value()) {
    progress->first_commanded_at = progress->stage_started_at;
  }
  runtime_->trace->Event(runtime::Severity::kInfo, "WeightLoadRequested",
                         {{"worker", worker_id},
                          {"model", progress->model},
                          {"revision", progress->target},
                          {"fencing_token", term_}});
  // The response says by its status alone whether the worker serves the revision, and bears no id:
  // on a shared connection, a late copy of a status response could be taken for it.
  http::CallOptions call_options = MakeCallOptions();
  call_options.fresh_connection = true;
  StartCall(worker_id, progress, dependencies_.format->MakeLoadWeightsRequest(command),
            std::move(call_options), [this, worker_id](const http::Response* response) {
              OnCommandResult(worker_id, response == nullptr
                                             ? WorkerCommandResult::kUnknown
                                             : dependencies_.format->ParseCommandResult(*response));
            });
}

void RolloutCoordinator::OnCommandResult(const std::string& worker_id, WorkerCommandResult result) {
  if (result == WorkerCommandResult::kAlreadyServed) {
    WorkerStatus status;
    status.revision = active_.at(worker_id).target;
    return OnStatus(worker_id, status, kCommandResponse);
  }
  if (result == WorkerCommandResult::kWrongIncarnation) {
    active_.erase(worker_id);
    return;
  }
  Progress& progress = active_.at(worker_id);
  const runtime::MonotonicTime now = runtime_->clock->Now();
  progress.stage = Stage::kLoading;
  progress.stage_started_at = now;
  progress.next_poll_at = now + options_.poll_interval;
  // After a rejection, the status is polled once or twice before the command is sent again.
  const bool may_have_started =
      result == WorkerCommandResult::kAccepted || result == WorkerCommandResult::kUnknown;
  if (!may_have_started)
    progress.stage_started_at = now - options_.load_timeout + 2 * options_.poll_interval;
}

void RolloutCoordinator::RequestStatus(const std::string& worker_id, Progress* progress) {
  progress->next_poll_at = runtime_->clock->Now() + options_.poll_interval;
  // A late copy of an earlier status does no harm: a worker's revision never falls.
  StartCall(worker_id, progress, dependencies_.format->MakeStatusRequest(worker_id),
            MakeCallOptions(),
            [this, worker_id, model = progress->model](const http::Response* response) {
              if (response == nullptr || response->status != kStatusOk) return;
              const absl::StatusOr<WorkerStatus> status =
                  dependencies_.format->ParseStatus(response->body, model);
              if (status.ok()) OnStatus(worker_id, *status, kStatusResponse);
            });
}

void RolloutCoordinator::OnStatus(const std::string& worker_id, const WorkerStatus& status,
                                  std::string_view source) {
  Progress& progress = active_.at(worker_id);
  if (status.busy || status.revision < progress.target) return;
  revisions_[worker_id] = std::max(revisions_[worker_id], status.revision);
  uint64_t& proven = proven_revisions_[progress.model];
  proven = std::max(proven, status.revision);
  FinishWorker(worker_id, source);
}

void RolloutCoordinator::FinishWorker(const std::string& worker_id, std::string_view source) {
  const Progress& progress = active_.at(worker_id);
  const runtime::Duration elapsed = TimeSinceFirstCommand(progress);
  runtime_->trace->Event(runtime::Severity::kInfo, "WeightLoadFinished",
                         {{"worker", worker_id},
                          {"model", progress.model},
                          {"revision", progress.target},
                          {"source", source},
                          {"elapsed_ms", runtime::ToMilliseconds(elapsed)}});
  metrics_.finished().Increment();
  Rollout& rollout = rollouts_[progress.model];
  if (rollout.target == progress.target) {
    ++rollout.finished_loads;
    rollout.total_load_duration += elapsed;
  }
  active_.erase(worker_id);
  dependencies_.publish();
}

}  // namespace posthatch::rollout
