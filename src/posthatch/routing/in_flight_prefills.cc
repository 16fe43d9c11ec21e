#include "posthatch/routing/in_flight_prefills.h"

#include <algorithm>

namespace posthatch::routing {
namespace {

constexpr runtime::Duration kSweepInterval = std::chrono::seconds(1);
// Maximum number of workers for the same segments; the one added first is replaced.
constexpr size_t kMaxLocationsPerPrefix = 4;

}  // namespace

void InFlightPrefills::Add(const PrefillStart& start) {
  EvictExpired();
  if (size_ >= options_.max_starts) return;
  const runtime::MonotonicTime now = clock_->Now();
  std::vector<Entry>& entries = entries_[{start.affinity, start.revision}];
  const auto existing = std::find_if(entries.begin(), entries.end(), [&start](const Entry& entry) {
    return entry.worker_id == start.worker_id;
  });
  if (existing != entries.end()) {
    existing->started_at = now;
    return;  // `ready_at` stays that of the first prefill
  }
  if (entries.size() >= kMaxLocationsPerPrefix) {
    entries.erase(entries.begin());
    --size_;
  }
  entries.push_back({start.worker_id, now, now + start.ready_in});
  ++size_;
}

std::vector<InFlightPrefills::PrefillLocation> InFlightPrefills::Find(uint64_t affinity,
                                                                      uint64_t revision) const {
  std::vector<PrefillLocation> locations;
  const auto found = entries_.find({affinity, revision});
  if (found == entries_.end()) return locations;
  const runtime::MonotonicTime now = clock_->Now();
  // Not a range: clang-tidy 14 can't compile std::ranges of this libstdc++.
  // NOLINTNEXTLINE(modernize-loop-convert)
  for (auto entry = found->second.rbegin(); entry != found->second.rend(); ++entry) {
    if (now - entry->started_at > options_.entry_ttl) continue;
    locations.push_back({entry->worker_id, now >= entry->ready_at});
  }
  return locations;
}

void InFlightPrefills::EvictExpired() {
  const runtime::MonotonicTime now = clock_->Now();
  if (now < next_sweep_at_) return;
  next_sweep_at_ = now + kSweepInterval;
  size_ = 0;
  for (auto it = entries_.begin(); it != entries_.end();) {
    std::vector<Entry>& entries = it->second;
    entries.erase(std::remove_if(entries.begin(), entries.end(),
                                 [&](const Entry& entry) {
                                   return now - entry.started_at > options_.entry_ttl;
                                 }),
                  entries.end());
    size_ += entries.size();
    if (entries.empty()) {
      entries_.erase(it++);
    } else {
      ++it;
    }
  }
}

}  // namespace posthatch::routing
