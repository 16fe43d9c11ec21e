#include "posthatch/gateway/backend_load.h"

#include <algorithm>
#include <cmath>

namespace posthatch::gateway {
namespace {

// Time to a response head after which the back end counts as unresponsive.
constexpr runtime::Duration kHeadGracePeriod = std::chrono::milliseconds(500);
constexpr double kWaitSampleWeight = 0.3;  // weight of a new sample in the moving average
// Half-life of a measured wait.
constexpr double kWaitHalfLifeSeconds = 2.0;

}  // namespace

void BackendLoad::OnDispatched(BackendEntry* entry, uint64_t pending_blocks) {
  if (entry->awaiting_head == 0) entry->awaiting_head_since = clock_->Now();
  ++entry->awaiting_head;
  ++entry->in_flight;
  entry->pending_blocks += pending_blocks;
}

void BackendLoad::OnResponseHead(BackendEntry* entry, uint64_t pending_blocks) {
  --entry->awaiting_head;
  entry->pending_blocks -= pending_blocks;
  entry->awaiting_head_since = clock_->Now();
}

void BackendLoad::OnEnded(BackendEntry* entry) { --entry->in_flight; }

void BackendLoad::OnWaitMeasured(BackendEntry* entry, double milliseconds) {
  entry->wait_milliseconds = ExpectedWait(*entry) * (1.0 - kWaitSampleWeight) +
                             std::max(0.0, milliseconds) * kWaitSampleWeight;
  entry->wait_measured = clock_->Now();
}

runtime::Duration BackendLoad::UnresponsiveTime(const BackendEntry& entry) const {
  if (entry.awaiting_head == 0) return runtime::Duration::zero();
  const runtime::Duration waiting = clock_->Now() - entry.awaiting_head_since;
  return std::max(runtime::Duration::zero(), waiting - kHeadGracePeriod);
}

double BackendLoad::ExpectedWait(const BackendEntry& entry) const {
  if (entry.wait_milliseconds <= 0.0) return 0.0;
  const runtime::Duration age = clock_->Now() - entry.wait_measured;
  const double half_lives = std::chrono::duration<double>(age).count() / kWaitHalfLifeSeconds;
  return entry.wait_milliseconds * std::exp2(-half_lives);
}

}  // namespace posthatch::gateway
