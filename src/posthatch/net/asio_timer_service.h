#pragma once

#include <functional>

#include "absl/container/flat_hash_map.h"
#include "posthatch/net/asio_types.h"
#include "posthatch/runtime/timer_service.h"

namespace posthatch::net {

// Schedules each timer as an Asio timer of its own. Owned by AsioRuntime; event loop thread only.
class AsioTimerService : public runtime::TimerService {
 public:
  explicit AsioTimerService(boost::asio::io_context* io_context) : io_context_(io_context) {}

  runtime::TimerId Schedule(runtime::Duration delay, std::function<void()> callback) override;
  void Cancel(runtime::TimerId timer_id) override;

 private:
  struct Entry {
    BootTimer timer;
    std::function<void()> callback;
  };

  void Fire(runtime::TimerId timer_id);

  boost::asio::io_context* const io_context_;
  runtime::TimerId last_id_ = 0;
  absl::flat_hash_map<runtime::TimerId, Entry> entries_;
};

}  // namespace posthatch::net
