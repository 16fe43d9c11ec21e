#include "posthatch/net/asio_timer_service.h"

#include <algorithm>
#include <utility>

namespace posthatch::net {

runtime::TimerId AsioTimerService::Schedule(runtime::Duration delay,
                                            std::function<void()> callback) {
  const runtime::TimerId timer_id = ++last_id_;
  BootTimer timer(*io_context_);
  timer.expires_at(BootClock::now() + std::max(delay, runtime::Duration::zero()));
  auto [entry, inserted] =
      entries_.try_emplace(timer_id, Entry{std::move(timer), std::move(callback)});
  entry->second.timer.async_wait([this, timer_id](const boost::system::error_code& error) {
    if (!error) Fire(timer_id);
  });
  return timer_id;
}

void AsioTimerService::Cancel(runtime::TimerId timer_id) { entries_.erase(timer_id); }

void AsioTimerService::Fire(runtime::TimerId timer_id) {
  // A completion that was already queued when its timer was cancelled finds no entry.
  const auto entry = entries_.find(timer_id);
  if (entry == entries_.end()) return;
  const std::function<void()> callback = std::move(entry->second.callback);
  entries_.erase(entry);
  callback();
}

}  // namespace posthatch::net
