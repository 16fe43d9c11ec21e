#pragma once

#include <functional>

#include "absl/container/flat_hash_map.h"
#include "posthatch/runtime/timer_service.h"
#include "posthatch/simulation/event_queue.h"
#include "posthatch/simulation/host_executor.h"

namespace posthatch::simulation {

// Timers of one process of a host. A timer that fires while the host is frozen can still be
// cancelled by a callback that runs before it after the freeze. Owned by the host's runtime.
class SimTimerService : public runtime::TimerService {
 public:
  SimTimerService(EventQueue* queue, HostExecutor* host)
      : queue_(queue), host_(host), process_id_(host->process_id()) {}
  // Called when the process ends; the object remains and ignores calls.
  void Shutdown();

  runtime::TimerId Schedule(runtime::Duration delay, std::function<void()> callback) override;
  void Cancel(runtime::TimerId timer_id) override;

 private:
  struct Pending {
    EventId event_id;
    std::function<void()> callback;
  };
  void Fire(runtime::TimerId timer_id);

  EventQueue* const queue_;
  HostExecutor* const host_;
  const uint64_t process_id_;
  runtime::TimerId last_id_ = 0;
  // Iterated only in Shutdown, where the order doesn't matter.
  absl::flat_hash_map<runtime::TimerId, Pending> pending_;
};

}  // namespace posthatch::simulation
