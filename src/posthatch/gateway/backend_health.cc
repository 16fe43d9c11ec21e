#include "posthatch/gateway/backend_health.h"

#include <algorithm>

namespace posthatch::gateway {
namespace {

// Repeated ejections last longer, up to this multiple of the configured duration.
constexpr uint32_t kMaxEjectionFactor = 4;
// Backoff after a rejection: an overloaded back end soon has capacity again, while one that loads
// weights needs seconds.
constexpr runtime::Duration kOverloadBackoff = std::chrono::milliseconds(250);
constexpr runtime::Duration kRejectionBackoff = std::chrono::seconds(1);
constexpr int kTooManyRequests = 429;
constexpr double kMinSlowStartShare = 0.02;

}  // namespace

bool BackendHealth::Eligible(const BackendEntry& entry, uint64_t revision) const {
  if (!entry.in_inventory || entry.draining || entry.evacuated) return false;
  const runtime::MonotonicTime now = clock_->Now();
  if (now < entry.ejected_until) return false;
  if (entry.rejected_revision == revision && now < entry.rejected_until) return false;
  return entry.in_flight < Limit(entry);
}

bool BackendHealth::EligibleForTrial(const BackendEntry& entry) const {
  return entry.in_inventory && !entry.draining && !entry.evacuated && entry.in_flight == 0 &&
         clock_->Now() >= entry.rejected_until;
}

double BackendHealth::SlowStartShare(const BackendEntry& entry) const {
  const runtime::Duration length = lookup_->limits().slow_start;
  const runtime::Duration elapsed = clock_->Now() - entry.slow_start_began;
  if (elapsed >= length) return 1.0;
  const double share = static_cast<double>(elapsed.count()) /
                       static_cast<double>(std::max<int64_t>(1, length.count()));
  return std::clamp(share, kMinSlowStartShare, 1.0);
}

uint32_t BackendHealth::Limit(const BackendEntry& entry) const {
  const uint32_t gateways = options_->LiveGateways();
  const uint32_t full = (lookup_->limits().max_requests_per_worker + gateways - 1) / gateways;
  return std::max<uint32_t>(1, static_cast<uint32_t>(full * SlowStartShare(entry)));
}

void BackendHealth::OnSuccess(BackendEntry* entry) {
  const bool was_ejected = entry->consecutive_ejections > 0;
  entry->consecutive_failures = 0;
  entry->consecutive_ejections = 0;
  entry->ejected_until = runtime::MonotonicTime();
  if (was_ejected) EnterSlowStart(entry, "returned");
}

void BackendHealth::OnFailure(BackendEntry* entry, FailureKind kind) {
  const runtime::MonotonicTime now = clock_->Now();
  if (now < entry->ejected_until) return;
  const bool on_trial = entry->consecutive_ejections > 0;
  ++entry->consecutive_failures;
  const bool at_once = on_trial || kind == FailureKind::kUnreachable;
  if (!at_once && entry->consecutive_failures < lookup_->limits().outlier_consecutive_failures) {
    return;
  }
  entry->consecutive_ejections = std::min(entry->consecutive_ejections + 1, kMaxEjectionFactor);
  entry->ejected_until = now + lookup_->limits().outlier_ejection * entry->consecutive_ejections;
  entry->consecutive_failures = 0;
  metrics_->ejections.Increment();
  // Slow start begins when the ejection ends.
  entry->slow_start_began = entry->ejected_until;
}

void BackendHealth::OnRejected(BackendEntry* entry, uint64_t revision, int status) {
  entry->consecutive_failures = 0;
  entry->rejected_revision = revision;
  entry->rejected_until =
      clock_->Now() + (status == kTooManyRequests ? kOverloadBackoff : kRejectionBackoff);
}

void BackendHealth::OnEpoch(BackendEntry* entry, uint64_t epoch) {
  if (epoch == 0 || epoch == entry->epoch) return;
  if (entry->epoch != 0) EnterSlowStart(entry, "epoch");
  entry->epoch = epoch;
}

void BackendHealth::EnterSlowStart(BackendEntry* entry, const std::string& cause) {
  entry->slow_start_began = clock_->Now();
  metrics_->slow_starts.Increment(cause);
}

}  // namespace posthatch::gateway
