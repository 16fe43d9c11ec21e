#include "posthatch/routing/outlier_detector.h"

#include <algorithm>

namespace posthatch::routing {
namespace {

// Factor by which a success reduces the failure score.
constexpr double kFailureDecay = 0.6;
constexpr double kFailuresToEject = 2.0;
constexpr runtime::Duration kFirstEjection = std::chrono::milliseconds(1000);
constexpr uint32_t kMaxEjectionDoublings = 3;
constexpr runtime::Duration kInitialOverloadBackoff = std::chrono::milliseconds(150);
constexpr uint32_t kMaxOverloadDoublings = 2;

}  // namespace

bool OutlierDetector::IsHealthy(const Worker& worker) const {
  const runtime::MonotonicTime now = runtime_->clock->Now();
  return now >= worker.ejected_until && now >= worker.overloaded_until;
}

void OutlierDetector::RecordSuccess(Worker* worker) const {
  worker->failure_score *= kFailureDecay;
  worker->rejections = 0;
  worker->ejections = 0;
}

void OutlierDetector::RecordFailure(Worker* worker, WorkerFailure failure) const {
  const bool unreachable = failure == WorkerFailure::kUnreachable;
  worker->failure_score += 1;
  if (!unreachable && worker->failure_score < kFailuresToEject) return;
  const uint32_t doublings = std::min(worker->ejections, kMaxEjectionDoublings);
  worker->ejected_until = runtime_->clock->Now() + kFirstEjection * (1U << doublings);
  ++worker->ejections;
  worker->failure_score = 0;
  runtime_->trace->Event(runtime::Severity::kInfo, "WorkerEjected",
                         {{"worker", worker->backend.id()}, {"unreachable", unreachable}});
}

void OutlierDetector::RecordRejection(Worker* worker) const {
  const uint32_t doublings = std::min(worker->rejections, kMaxOverloadDoublings);
  worker->overloaded_until = runtime_->clock->Now() + kInitialOverloadBackoff * (1U << doublings);
  ++worker->rejections;
}

}  // namespace posthatch::routing
