#include "posthatch/consensus/disk_health.h"

#include <algorithm>
#include <vector>

namespace posthatch::consensus {

namespace {

constexpr runtime::Duration kWindow = std::chrono::seconds(3);
constexpr size_t kMaxSamples = 1000;

}  // namespace

void DiskHealth::OnSync(runtime::Duration sync_duration, runtime::MonotonicTime now) {
  samples_.push_back({now, sync_duration});
  if (samples_.size() > kMaxSamples) samples_.pop_front();
}

void DiskHealth::Update(runtime::Duration in_flight, runtime::MonotonicTime now) {
  while (!samples_.empty() && now - samples_.front().at > kWindow) samples_.pop_front();
  p95_ = in_flight;
  if (!samples_.empty()) {
    std::vector<runtime::Duration> durations;
    durations.reserve(samples_.size());
    for (const Sample& sample : samples_) durations.push_back(sample.sync_duration);
    const size_t rank = durations.size() * 95 / 100;
    std::nth_element(durations.begin(), durations.begin() + static_cast<int64_t>(rank),
                     durations.end());
    p95_ = std::max(in_flight, durations[rank]);
  }
  const bool slow = p95_ > threshold_;
  if (slow && !slow_) slow_since_ = now;
  slow_ = slow;
}

}  // namespace posthatch::consensus
