#include "posthatch/routing/slow_start_limiter.h"

#include <xxhash.h>

#include "absl/strings/str_cat.h"

namespace posthatch::routing {
namespace {

uint64_t Rank(const std::string& worker_id, const std::string& gateway) {
  const std::string text = absl::StrCat(worker_id, "/", gateway);
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace

bool SlowStartLimiter::MaySend(const std::string& worker_id, double requests_per_second) const {
  const auto last = last_send_at_.find(worker_id);
  if (last != last_send_at_.end() && clock_->Now() - last->second < kMinSendInterval) return false;
  return IsAssigned(worker_id, static_cast<size_t>(requests_per_second));
}

bool SlowStartLimiter::IsAssigned(const std::string& worker_id, size_t max_gateways) const {
  const uint64_t local_rank = Rank(worker_id, self_);
  size_t lower_ranked = 0;
  for (const std::string& gateway : gateways_()) {
    if (gateway != self_ && Rank(worker_id, gateway) < local_rank) ++lower_ranked;
  }
  return lower_ranked < max_gateways;
}

void SlowStartLimiter::RecordSend(const std::string& worker_id) {
  last_send_at_[worker_id] = clock_->Now();
}

}  // namespace posthatch::routing
