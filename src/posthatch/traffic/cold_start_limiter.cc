#include "posthatch/traffic/cold_start_limiter.h"

#include <xxhash.h>

#include "absl/strings/str_cat.h"

namespace posthatch::traffic {
namespace {

uint64_t Rank(const std::string& worker_id, const std::string& gateway) {
  const std::string text = absl::StrCat(worker_id, "/", gateway);
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace

bool ColdStartLimiter::MaySend(const std::string& worker_id, double requests_per_second) const {
  const auto last = last_send_.find(worker_id);
  if (last != last_send_.end() && clock_->Now() - last->second < kSpacing) return false;
  return IsChosen(worker_id, static_cast<size_t>(requests_per_second));
}

bool ColdStartLimiter::IsChosen(const std::string& worker_id, size_t chosen) const {
  const uint64_t own = Rank(worker_id, self_);
  size_t before = 0;
  for (const std::string& gateway : gateways_()) {
    if (gateway != self_ && Rank(worker_id, gateway) < own) ++before;
  }
  return before < chosen;
}

void ColdStartLimiter::CountSend(const std::string& worker_id) {
  last_send_[worker_id] = clock_->Now();
}

}  // namespace posthatch::traffic
