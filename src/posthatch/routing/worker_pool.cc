#include "posthatch/routing/worker_pool.h"

#include <algorithm>
#include <cmath>

#include "absl/container/flat_hash_set.h"
#include "posthatch/control/state/selector.h"

namespace posthatch::routing {
namespace {

// Parameters of the decaying average of measured waits.
constexpr double kWaitWeight = 0.3;  // weight of a new measurement
constexpr double kWaitHalfLifeMs = 1500;
constexpr runtime::Duration kSlowTransferBackoff = std::chrono::seconds(2);
// Workers of an outdated revision get no new work from this long before the deadline: this gateway
// may have received the new revision one session renewal after the request that set it was
// acknowledged.
constexpr runtime::Duration kRevisionSafetyMargin = std::chrono::milliseconds(1300);
// A prompt that waits for its first token under an outdated revision is cancelled this long before
// the deadline, so that the worker is notified in time.
constexpr runtime::Duration kCancellationMargin = std::chrono::milliseconds(300);

}  // namespace

WorkerPool::WorkerPool(runtime::Runtime* runtime, WorkerPoolOptions options,
                       SlowStartLimiter* limiter, LoadReporter* loads,
                       const control::RevisionTimeline* revisions)
    : runtime_(runtime),
      options_(options),
      limiter_(limiter),
      load_reporter_(loads),
      revisions_(revisions),
      outlier_detector_(runtime) {}

void WorkerPool::PublishLoad(const Worker& worker) {
  load_reporter_->SetLocalLoad(worker.backend.id(), {worker.in_flight, worker.pending_tokens});
}

Load WorkerPool::TotalLoad(const Worker& worker) const {
  Load load;
  if (options_.switches.loads) load = load_reporter_->RemoteLoad(worker.backend.id());
  load.in_flight += worker.in_flight;
  load.pending_tokens += worker.pending_tokens;
  return load;
}

void WorkerPool::Update(const control::FleetState& state, const control::Inventory* local_inventory,
                        runtime::Duration leader_inventory_age) {
  for (const control::ModelRevision& target : state.revisions()) {
    target_revisions_[target.model()] = target.revision();
  }
  slow_starts_.clear();
  for (const control::TrafficService& service : state.traffic().services()) {
    slow_starts_[service.name()] = {std::chrono::milliseconds(service.slow_start_ms()),
                                    service.slow_start_requests_per_second()};
  }
  for (auto& [id, worker] : workers_) worker->in_inventory = false;
  const bool loading_known = leader_inventory_age < options_.loading_mark_ttl;
  absl::flat_hash_set<std::string> draining;
  for (const control::Backend& backend : state.inventory().backends()) {
    if (backend.draining()) draining.insert(backend.id());
    if (local_inventory == nullptr) AddOrUpdateWorker(backend, loading_known && backend.loading());
  }
  if (local_inventory != nullptr) {
    absl::flat_hash_set<std::string> loading;
    for (const control::Backend& backend : state.inventory().backends()) {
      if (loading_known && backend.loading()) loading.insert(backend.id());
    }
    for (const control::Backend& backend : local_inventory->backends()) {
      AddOrUpdateWorker(backend, loading.contains(backend.id()));
    }
  }
  for (auto& [id, worker] : workers_) {
    if (draining.contains(id)) worker->draining = true;
  }
  inventory_known_ =
      inventory_known_ || state.inventory().backends_size() > 0 || local_inventory != nullptr;
  ApplyEvacuations(state);
  RebuildServices();
}

void WorkerPool::AddOrUpdateWorker(const control::Backend& backend, bool loading) {
  const runtime::MonotonicTime now = runtime_->clock->Now();
  auto [found, is_new] = workers_.try_emplace(backend.id());
  if (is_new) found->second = std::make_shared<Worker>();
  Worker* worker = found->second.get();
  const bool draining = worker->draining || backend.draining();
  worker->backend = backend;
  worker->backend.set_loading(loading);
  worker->in_inventory = true;
  worker->draining = draining;
  worker->revision = std::max(worker->revision, backend.model_revision());
  const SlowStart* slow_start = SlowStartOf(*worker);
  // A worker that appears when the inventory is known already has just started.
  const bool just_started = is_new && inventory_known_;
  if (slow_start != nullptr && just_started) worker->slow_start_until = now + slow_start->duration;
}

void WorkerPool::ApplyEvacuations(const control::FleetState& state) {
  const runtime::MonotonicTime now = runtime_->clock->Now();
  for (auto& [id, worker] : workers_) {
    const auto labels =
        state.evacuations().empty() ? control::LabelMap() : control::BackendLabels(worker->backend);
    const bool evacuated =
        std::any_of(state.evacuations().begin(), state.evacuations().end(),
                    [&labels](const control::Evacuation& evacuation) {
                      return control::SelectorMatches(evacuation.selector(), labels);
                    });
    // The worker may have restarted during the evacuation, and have an empty cache.
    const SlowStart* slow_start = SlowStartOf(*worker);
    if (worker->evacuated && !evacuated && slow_start != nullptr) {
      worker->slow_start_until = now + slow_start->duration;
    }
    worker->evacuated = evacuated;
  }
}

void WorkerPool::RebuildServices() {
  services_.clear();
  for (auto it = workers_.begin(); it != workers_.end();) {
    const WorkerPointer& worker = it->second;
    if (!worker->in_inventory) {
      limiter_->Remove(it->first);
      workers_.erase(it++);
      continue;
    }
    if (!worker->draining && !worker->evacuated) {
      services_[worker->backend.service()].push_back(worker);
    }
    ++it;
  }
  for (auto& [name, workers] : services_) {
    std::sort(workers.begin(), workers.end(),
              [](const WorkerPointer& left, const WorkerPointer& right) {
                return left->backend.id() < right->backend.id();
              });
  }
}

const std::vector<WorkerPointer>& WorkerPool::WorkersOf(const std::string& service) const {
  static const auto* const none = new std::vector<WorkerPointer>();
  const auto found = services_.find(service);
  return found == services_.end() ? *none : found->second;
}

std::vector<uint64_t> WorkerPool::RevisionsServed(const std::string& service) const {
  std::vector<uint64_t> revisions;
  for (const WorkerPointer& worker : WorkersOf(service)) {
    const uint64_t revision = worker->revision;
    if (revision == 0) continue;
    if (std::find(revisions.begin(), revisions.end(), revision) == revisions.end()) {
      revisions.push_back(revision);
    }
  }
  return revisions;
}

const WorkerPool::SlowStart* WorkerPool::SlowStartOf(const Worker& worker) const {
  const auto found = slow_starts_.find(worker.backend.service());
  if (found == slow_starts_.end() || found->second.requests_per_second <= 0) return nullptr;
  return &found->second;
}

bool WorkerPool::InSlowStart(const Worker& worker) const {
  if (SlowStartOf(worker) == nullptr) return false;
  return worker.backend.slow_start() || runtime_->clock->Now() < worker.slow_start_until;
}

bool WorkerPool::AcceptsNewWork(const Worker& worker) const {
  if (!worker.in_inventory || worker.draining || worker.evacuated || worker.backend.loading()) {
    return false;
  }
  const auto outdated_for = OutdatedFor(worker.backend.model(), worker.revision);
  if (outdated_for.has_value() &&
      *outdated_for > options_.revision_deadline - kRevisionSafetyMargin) {
    return false;
  }
  if (!InSlowStart(worker)) return true;
  return limiter_->MaySend(worker.backend.id(), SlowStartOf(worker)->requests_per_second);
}

bool WorkerPool::IsEligible(const Worker& worker) const {
  return outlier_detector_.IsHealthy(worker) && AcceptsNewWork(worker);
}

bool WorkerPool::IsEligibleAsLastResort(const Worker& worker) const {
  return AcceptsNewWork(worker);
}

double WorkerPool::ExpectedWait(const Worker& worker) const {
  const double age_ms = runtime::ToMilliseconds(runtime_->clock->Now() - worker.wait_measured_at);
  return worker.wait_ms * std::exp2(-age_ms / kWaitHalfLifeMs);
}

uint64_t WorkerPool::TargetRevision(const std::string& model) const {
  const auto found = target_revisions_.find(model);
  return found == target_revisions_.end() ? 0 : found->second;
}

std::optional<runtime::Duration> WorkerPool::OutdatedFor(const std::string& model,
                                                         uint64_t revision) const {
  const std::optional<runtime::MonotonicTime> since = revisions_->OutdatedSince(model, revision);
  if (!since.has_value()) return std::nullopt;
  return runtime_->clock->Now() - *since;
}

std::optional<runtime::Duration> WorkerPool::TimeUntilCancellation(const std::string& model,
                                                                   uint64_t revision) const {
  const std::optional<runtime::Duration> outdated_for = OutdatedFor(model, revision);
  if (!outdated_for.has_value()) return std::nullopt;
  return options_.revision_deadline - kCancellationMargin - *outdated_for;
}

void WorkerPool::OnDispatched(Worker* worker, uint64_t pending_tokens) {
  ++worker->in_flight;
  worker->pending_tokens += pending_tokens;
  if (InSlowStart(*worker)) limiter_->RecordSend(worker->backend.id());
  PublishLoad(*worker);
}

void WorkerPool::OnPrefillDone(Worker* worker, uint64_t pending_tokens) {
  worker->pending_tokens -= std::min(worker->pending_tokens, pending_tokens);
  PublishLoad(*worker);
}

void WorkerPool::OnRequestEnded(Worker* worker) {
  if (worker->in_flight > 0) --worker->in_flight;
  PublishLoad(*worker);
}

void WorkerPool::RecordWait(Worker* worker, double milliseconds) {
  const double before = ExpectedWait(*worker);
  worker->wait_ms = before + kWaitWeight * (std::max(milliseconds, 0.0) - before);
  worker->wait_measured_at = runtime_->clock->Now();
}

void WorkerPool::OnSlowTransfer(Worker* worker, const std::string& source_endpoint) {
  const runtime::MonotonicTime until = runtime_->clock->Now() + kSlowTransferBackoff;
  worker->no_transfers_until = until;
  for (auto& [id, other] : workers_) {
    if (other->backend.endpoint() == source_endpoint) other->no_transfers_until = until;
  }
}

bool WorkerPool::MayTransfer(const Worker& worker) const {
  return runtime_->clock->Now() >= worker.no_transfers_until;
}

void WorkerPool::OnSuccess(Worker* worker) { outlier_detector_.RecordSuccess(worker); }

void WorkerPool::OnFailure(Worker* worker, WorkerFailure failure) {
  if (options_.switches.ejection) outlier_detector_.RecordFailure(worker, failure);
}

void WorkerPool::OnRejected(Worker* worker) { outlier_detector_.RecordRejection(worker); }

void WorkerPool::OnRevisionSeen(Worker* worker, uint64_t revision) {
  worker->revision = std::max(worker->revision, revision);
}

}  // namespace posthatch::routing
