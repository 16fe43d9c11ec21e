#include "posthatch/orders/rollout_coordinator.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace posthatch::orders {
namespace {

constexpr int kStatusOk = 200;
constexpr size_t kMaxReportBytes = size_t{1} << 20;
// While nothing is to be done.
constexpr runtime::Duration kIdleTick = std::chrono::milliseconds(200);

}  // namespace

RolloutCoordinator::RolloutCoordinator(runtime::Runtime* runtime, RolloutOptions options,
                                       Parts parts)
    : runtime_(runtime),
      options_(std::move(options)),
      parts_(std::move(parts)),
      tick_timer_(runtime->timers) {}

void RolloutCoordinator::OnLeadership(bool is_leader, uint64_t term) {
  leading_ = is_leader;
  term_ = term;
  active_.clear();
  ordered_at_.clear();
  revisions_.clear();
  proven_.clear();
  tick_timer_.Cancel();
  if (!is_leader) return;
  handover_until_ = runtime_->clock->Now() + options_.handover;
  tick_timer_.Start(kIdleTick, [this] { Tick(); });
}

void RolloutCoordinator::Annotate(control::Inventory* inventory) const {
  std::map<std::string, const control::Backend*> published;
  for (const control::Backend& backend : parts_.fleet().inventory().backends()) {
    published[backend.id()] = &backend;
  }
  // What the former leader has ordered goes on: its marks stand until this one may order there.
  const bool in_handover = InHandover();
  for (control::Backend& backend : *inventory->mutable_backends()) {
    const auto known = published.find(backend.id());
    uint64_t revision = RevisionOf(backend);
    bool still_loading = false;
    bool ordered_before = false;
    if (known != published.end()) {
      ordered_before = in_handover && known->second->recently_ordered();
      still_loading =
          in_handover && known->second->loading() && revision <= known->second->model_revision();
      revision = std::max(revision, known->second->model_revision());
    }
    backend.set_model_revision(revision);
    backend.set_loading(still_loading || active_.contains(backend.id()));
    backend.set_recently_ordered(ordered_before || RecentlyOrdered(backend.id()));
  }
}

bool RolloutCoordinator::RecentlyOrdered(const std::string& worker_id) const {
  if (active_.contains(worker_id)) return true;
  const auto ordered = ordered_at_.find(worker_id);
  return ordered != ordered_at_.end() &&
         runtime_->clock->Now() - ordered->second < options_.handover;
}

const control::Backend* RolloutCoordinator::Published(const std::string& worker_id) const {
  for (const control::Backend& backend : parts_.fleet().inventory().backends()) {
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
  tick_timer_.Start(active_.empty() ? kIdleTick : options_.tick, [this] { Tick(); });
  if (!leading_ || !parts_.may_order()) return;
  std::vector<std::string> ids;
  for (const auto& [worker_id, progress] : active_) ids.push_back(worker_id);
  for (const std::string& worker_id : ids) Advance(worker_id, &active_.at(worker_id));
  StartWorkers();
}

size_t RolloutCoordinator::Limit(const std::string& model, size_t workers) const {
  const auto proven = proven_.find(model);
  uint64_t target = 0;
  for (const control::ModelRevision& revision : parts_.fleet().revisions()) {
    if (revision.model() == model) target = revision.revision();
  }
  if (proven == proven_.end() || proven->second < target) return 1;
  const auto loading =
      static_cast<size_t>(std::floor(static_cast<double>(workers) * options_.loading_share));
  return 2 * std::max<size_t>(loading, 1);
}

void RolloutCoordinator::StartWorkers() {
  std::map<std::string, uint64_t> targets;
  for (const control::ModelRevision& revision : parts_.fleet().revisions()) {
    targets[revision.model()] = revision.revision();
  }
  std::map<std::string, size_t> workers;
  std::map<std::string, size_t> under_way;
  std::vector<const control::Backend*> outdated;
  for (const control::Backend& backend : parts_.fleet().inventory().backends()) {
    if (backend.kind() != control::BACKEND_KIND_WORKER || backend.draining()) continue;
    ++workers[backend.model()];
    const bool ordered_before = InHandover() && backend.recently_ordered();
    if (active_.contains(backend.id()) || (ordered_before && backend.loading())) {
      ++under_way[backend.model()];
      continue;
    }
    const uint64_t target = targets[backend.model()];
    const uint64_t revision = RevisionOf(backend);
    if (revision >= target) {
      uint64_t& proven = proven_[backend.model()];
      proven = std::max(proven, revision);
    } else if (revision > 0 && !ordered_before) {
      outdated.push_back(&backend);
    }
  }
  bool started = false;
  for (const control::Backend* backend : outdated) {
    if (under_way[backend->model()] >= Limit(backend->model(), workers[backend->model()])) continue;
    ++under_way[backend->model()];
    Progress& progress = active_[backend->id()];
    progress.model = backend->model();
    progress.endpoint = backend->endpoint();
    progress.target = targets[backend->model()];
    progress.since = runtime_->clock->Now();
    started = true;
  }
  if (started) parts_.publish();
}

void RolloutCoordinator::Advance(const std::string& worker_id, Progress* progress) {
  const control::Backend* published = Published(worker_id);
  if (published == nullptr) {
    active_.erase(worker_id);
    return;
  }
  const runtime::MonotonicTime now = runtime_->clock->Now();
  switch (progress->stage) {
    case Stage::kNotice:
      // A new leader must be able to see that this one may have ordered the worker.
      if (!published->loading() || !published->recently_ordered()) {
        progress->since = now;
      } else if (now - progress->since >= options_.notice) {
        SendOrder(worker_id, progress);
      }
      return;
    case Stage::kOrdering:
      return;  // the call's own time-out ends it
    case Stage::kLoading:
      if (now - progress->since >= options_.load_timeout) {
        SendOrder(worker_id, progress);
      } else if (now >= progress->next_poll && progress->call == nullptr) {
        AskReport(worker_id, progress);
      }
      return;
  }
}

void RolloutCoordinator::Call(const std::string& worker_id, Progress* progress,
                              http::Request request,
                              std::function<void(const http::Response*)> done) {
  const uint64_t number = ++last_call_;
  progress->call_number = number;
  auto answer = std::make_shared<http::Response>();
  const auto end = [this, worker_id, number, done = std::move(done)](const http::Response* whole) {
    const auto found = active_.find(worker_id);
    if (found == active_.end() || found->second.call_number != number) return;
    // The call outlives its own callback.
    runtime_->timers->Schedule(
        runtime::Duration::zero(),
        [call = std::shared_ptr<http::Call>(std::move(found->second.call))] {});
    done(whole);
  };
  http::CallOptions call_options;
  call_options.connect_timeout = options_.call_timeout;
  call_options.head_timeout = options_.call_timeout;
  call_options.piece_timeout = options_.call_timeout;
  call_options.max_body_bytes = kMaxReportBytes;
  http::CallObserver observer;
  observer.on_head = [answer](const http::Response& head) { *answer = head; };
  observer.on_piece = [answer](const std::string& piece) { answer->body.append(piece); };
  observer.on_end = [answer, end] { end(answer.get()); };
  observer.on_error = [end](const http::CallError&) { end(nullptr); };
  progress->call = runtime_->http_client->Start(progress->endpoint, std::move(request),
                                                call_options, std::move(observer));
}

void RolloutCoordinator::SendOrder(const std::string& worker_id, Progress* progress) {
  LoadOrder order{worker_id, progress->model, progress->target, options_.holder, term_};
  progress->stage = Stage::kOrdering;
  progress->since = runtime_->clock->Now();
  ordered_at_[worker_id] = progress->since;
  runtime_->trace->Event(runtime::Severity::kInfo, "LoadOrdered",
                         {{"worker", worker_id},
                          {"model", progress->model},
                          {"revision", progress->target},
                          {"fencing_token", term_}});
  Call(worker_id, progress, parts_.format->OrderRequest(order),
       [this, worker_id](const http::Response* answer) {
         OnOrderAnswer(worker_id, answer == nullptr ? OrderAnswer::kUnclear
                                                    : parts_.format->ReadOrderAnswer(*answer));
       });
}

void RolloutCoordinator::OnOrderAnswer(const std::string& worker_id, OrderAnswer answer) {
  if (answer == OrderAnswer::kHolds) {
    WorkerReport report;
    report.revision = active_.at(worker_id).target;
    return OnReport(worker_id, report);
  }
  if (answer == OrderAnswer::kGone) {
    active_.erase(worker_id);
    return;
  }
  Progress& progress = active_.at(worker_id);
  const runtime::MonotonicTime now = runtime_->clock->Now();
  progress.stage = Stage::kLoading;
  progress.since = now;
  progress.next_poll = now + options_.poll_interval;
  // Not taken, as far as it is known: asks for the worker's state and then orders again.
  const bool taken = answer == OrderAnswer::kTaken || answer == OrderAnswer::kUnclear;
  if (!taken) progress.since = now - options_.load_timeout + 2 * options_.poll_interval;
}

void RolloutCoordinator::AskReport(const std::string& worker_id, Progress* progress) {
  progress->next_poll = runtime_->clock->Now() + options_.poll_interval;
  Call(worker_id, progress, parts_.format->ReportRequest(worker_id),
       [this, worker_id, model = progress->model](const http::Response* answer) {
         if (answer == nullptr || answer->status != kStatusOk) return;
         const absl::StatusOr<WorkerReport> report = parts_.format->ReadReport(answer->body, model);
         if (report.ok()) OnReport(worker_id, *report);
       });
}

void RolloutCoordinator::OnReport(const std::string& worker_id, const WorkerReport& report) {
  Progress& progress = active_.at(worker_id);
  if (report.busy || report.revision < progress.target) return;
  revisions_[worker_id] = std::max(revisions_[worker_id], report.revision);
  uint64_t& proven = proven_[progress.model];
  proven = std::max(proven, report.revision);
  Done(worker_id);
}

void RolloutCoordinator::Done(const std::string& worker_id) {
  active_.erase(worker_id);
  parts_.publish();
}

}  // namespace posthatch::orders
