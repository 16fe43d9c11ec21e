#include "posthatch/index/missing_events.h"

#include <algorithm>

namespace posthatch::index {
namespace {

// A gap of more numbers than this counts as lost at once.
constexpr uint64_t kMaxMissing = 1000;
// Factor by which the weight of an event decays with each later event.
constexpr double kRecentDecay = 0.995;
// The tolerated share is taken of at least this many recent events.
constexpr double kMinRecentEvents = 50;

}  // namespace

void MissingEvents::CountEvent() {
  recent_events_ = recent_events_ * kRecentDecay + 1;
  recent_lost_ *= kRecentDecay;
}

bool MissingEvents::Add(uint64_t first, uint64_t last, runtime::MonotonicTime now) {
  if (last - first >= kMaxMissing) return false;
  for (uint64_t seq = first; seq <= last; ++seq) lost_at_.emplace(seq, now + reorder_window_);
  return true;
}

bool MissingEvents::Expire(runtime::MonotonicTime now) {
  bool any_lost = false;
  while (!lost_at_.empty() && lost_at_.begin()->second <= now) {
    lost_at_.erase(lost_at_.begin());
    recent_lost_ += 1;
    any_lost = true;
  }
  const double tolerated = tolerated_share_ * std::max(recent_events_, kMinRecentEvents);
  if (!any_lost || recent_lost_ <= tolerated) return false;
  recent_lost_ = 0;
  return true;
}

std::optional<runtime::MonotonicTime> MissingEvents::next_expiry() const {
  if (lost_at_.empty()) return std::nullopt;
  return lost_at_.begin()->second;
}

}  // namespace posthatch::index
