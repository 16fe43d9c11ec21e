#include "posthatch/simulation/sim_timer_service.h"

#include <algorithm>
#include <utility>

namespace posthatch::simulation {

void SimTimerService::Shutdown() {
  // Callbacks are destroyed last: destructors of their captures may call Cancel.
  absl::flat_hash_map<runtime::TimerId, Pending> pending_timers;
  pending_timers.swap(pending_);
  for (const auto& [timer_id, pending] : pending_timers) queue_->Cancel(pending.event_id);
}

runtime::TimerId SimTimerService::Schedule(runtime::Duration delay,
                                           std::function<void()> callback) {
  const runtime::TimerId timer_id = ++last_id_;
  if (process_id_ != host_->process_id()) return timer_id;
  const EventId event_id =
      queue_->ScheduleAfter(std::max(delay, runtime::Duration(0)),
                            [this, host = host_, process_id = process_id_, timer_id] {
                              host->Run(process_id, HostExecutor::CallbackType::kTimer,
                                        [this, timer_id] { Fire(timer_id); });
                            });
  pending_.emplace(timer_id, Pending{event_id, std::move(callback)});
  return timer_id;
}

void SimTimerService::Cancel(runtime::TimerId timer_id) {
  const auto found = pending_.find(timer_id);
  if (found == pending_.end()) return;
  queue_->Cancel(found->second.event_id);
  pending_.erase(found);
}

void SimTimerService::Fire(runtime::TimerId timer_id) {
  const auto found = pending_.find(timer_id);
  if (found == pending_.end()) return;
  const std::function<void()> callback = std::move(found->second.callback);
  pending_.erase(found);
  callback();
}

}  // namespace posthatch::simulation
