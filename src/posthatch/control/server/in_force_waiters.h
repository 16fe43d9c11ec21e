#pragma once

#include <cstdint>
#include <functional>
#include <list>

#include "posthatch/control/server/session_table.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::control {

// Operators' changes that are committed but not yet acknowledged: they wait until every session has
// put them in force or has run out. Owned by ControllerService.
class InForceWaiters {
 public:
  // `in_force` is false if leadership was lost before it could be known.
  using Done = std::function<void(bool in_force)>;

  void Add(uint64_t log_index, Done done) { waiters_.push_back({log_index, std::move(done)}); }
  // Ends the waits that are over at `now`.
  void Check(const SessionTable& sessions, runtime::MonotonicTime now);
  // Ends all with in_force = false.
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
