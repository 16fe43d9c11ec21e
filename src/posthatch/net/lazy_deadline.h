#pragma once

#include <functional>

#include "posthatch/net/asio_types.h"
#include "posthatch/util/lifetime.h"

namespace posthatch::net {

// A deadline that moves often, as each request on a kept connection does: moving it later costs no
// timer operation; the timer finds the new time when it fires and waits on. Owned by a connection,
// whose `expired` callback must keep nothing alive. Event loop thread only.
class LazyDeadline {
 public:
  LazyDeadline(boost::asio::io_context* io_context, std::function<void()> on_expired);
  LazyDeadline(const LazyDeadline&) = delete;
  LazyDeadline& operator=(const LazyDeadline&) = delete;

  // Runs `expired` once when `time` has come, unless it is set anew or cleared before.
  void Set(runtime::MonotonicTime time);
  void Clear() { set_ = false; }

 private:
  void Arm();
  void OnTimer();

  BootTimer timer_;
  const std::function<void()> on_expired_;
  runtime::MonotonicTime time_;
  runtime::MonotonicTime armed_at_;
  bool set_ = false;
  bool armed_ = false;
  util::Lifetime lifetime_;  // a cancelled wait may still complete
};

}  // namespace posthatch::net
