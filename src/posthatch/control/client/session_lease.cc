#include "posthatch/control/client/session_lease.h"

#include <algorithm>

namespace posthatch::control {

uint64_t SessionLease::StartRenewal(runtime::MonotonicTime now) {
  pending_[++last_renewal_] = now;
  while (pending_.size() > kMaxPendingRenewals) pending_.erase(pending_.begin());
  return last_renewal_;
}

std::optional<runtime::MonotonicTime> SessionLease::SentAt(uint64_t renewal) const {
  const auto pending = pending_.find(renewal);
  if (pending == pending_.end()) return std::nullopt;
  return pending->second;
}

void SessionLease::OnResponse(uint64_t renewal) {
  pending_.erase(pending_.begin(), pending_.upper_bound(renewal));
  responded_renewal_ = last_renewal_;
}

void SessionLease::Extend(runtime::MonotonicTime expiry) {
  expiry_ = std::max(expiry_, expiry);
  granted_ = true;
}

void SessionLease::End() {
  ended_ = true;
  granted_ = false;
}

}  // namespace posthatch::control
