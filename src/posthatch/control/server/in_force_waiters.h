#pragma once

#include <cstdint>
#include <functional>
#include <list>

#include "posthatch/control/server/session_table.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::control {

// Committed changes whose proposers wait until every session has acknowledged them or expired.
// Owned by ProposalServer; event loop thread only.
class InForceWaiters {
 public:
  // `in_force` is false if the leadership ended first.
  using Done = std::function<void(bool in_force)>;

  void Add(uint64_t log_index, Done done) { waiters_.push_back({log_index, std::move(done)}); }
  // Completes the waiters whose change is in force at every session at `now`.
  void Check(const SessionTable& sessions, runtime::MonotonicTime now);
  // Completes all waiters with in_force = false.
  void FailAll();
  size_t size() const { return waiters_.size(); }

 private:
  struct Waiter {
    uint64_t log_index;
    Done done;
  };

  std::list<Waiter> waiters_;
};

}  // namespace posthatch::control
