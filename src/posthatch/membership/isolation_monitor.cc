#include "posthatch/membership/isolation_monitor.h"

namespace posthatch::membership {

bool IsolationMonitor::IsIsolated() const {
  const runtime::Duration since_last_response = clock_->Now() - detector_->last_response_at();
  // With fewer others, it is as likely that they are dead as that this process is isolated.
  constexpr size_t kMinLivePeers = 3;
  return table_->live_count() >= kMinLivePeers &&
         since_last_response >= options_->isolation_timeout &&
         since_last_response < options_->isolation_timeout + options_->max_isolation;
}

std::optional<runtime::Duration> IsolationMonitor::TakeEndedIsolation() {
  const runtime::MonotonicTime now = clock_->Now();
  const bool isolated = IsIsolated();
  std::optional<runtime::Duration> ended;
  if (isolated && !was_isolated_) isolated_since_ = now;
  if (!isolated && was_isolated_) ended = now - isolated_since_;
  was_isolated_ = isolated;
  return ended;
}

}  // namespace posthatch::membership
