#include "posthatch/control/server/in_force_waiters.h"

#include <utility>

namespace posthatch::control {

void InForceWaiters::Check(const SessionTable& sessions, runtime::MonotonicTime now) {
  std::list<Waiter> over;
  for (auto waiter = waiters_.begin(); waiter != waiters_.end();) {
    const auto next = std::next(waiter);
    if (sessions.AckedByAllSessions(waiter->log_index, now)) {
      over.splice(over.end(), waiters_, waiter);
    }
    waiter = next;
  }
  for (const Waiter& waiter : over) waiter.done(true);
}

void InForceWaiters::FailAll() {
  const std::list<Waiter> abandoned = std::exchange(waiters_, {});
  for (const Waiter& waiter : abandoned) waiter.done(false);
}

}  // namespace posthatch::control
