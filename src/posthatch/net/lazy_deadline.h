#pragma once

#include <functional>

#include "posthatch/net/asio_types.h"
#include "posthatch/util/lifetime.h"

namespace posthatch::net {

// A deadline that is postponed often, as by each request on a persistent connection. Postponing
// costs no timer operation: the timer fires at the old time, finds the later one and is armed
// again. Owned by a connection; the callback must not own the connection. Event loop thread only.
class LazyDeadline {
 public:
  LazyDeadline(boost::asio::io_context* io_context, std::function<void()> on_expired);
  LazyDeadline(const LazyDeadline&) = delete;
  LazyDeadline& operator=(const LazyDeadline&) = delete;

  // Runs the callback once at `time`, unless Set or Clear is called before.
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
  util::Lifetime lifetime_;  // the completion of a cancelled wait may still run
};

}  // namespace posthatch::net
