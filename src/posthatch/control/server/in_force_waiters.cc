#include "posthatch/control/server/in_force_waiters.h"

#include <utility>

namespace posthatch::control {

void InForceWaiters::Check(const SessionTable& sessions, runtime::MonotonicTime now) {
  std::list<Waiter> satisfied;
  for (auto waiter = waiters_.begin(); waiter != waiters_.end();) {
    const auto next = std::next(waiter);
    if (sessions.AckedByAllSessions(waiter->log_index, now)) {
      satisfied.splice(satisfied.end(), waiters_, waiter);
    }
    waiter = next;
  }
  for (const Waiter& waiter : satisfied) waiter.done(true);
}

void InForceWaiters::FailAll() {
  const std::list<Waiter> failed = std::exchange(waiters_, {});
  for (const Waiter& waiter : failed) waiter.done(false);
}

}  // namespace posthatch::control
