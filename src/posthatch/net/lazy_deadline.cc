#include "posthatch/net/lazy_deadline.h"

#include <utility>

namespace posthatch::net {

LazyDeadline::LazyDeadline(boost::asio::io_context* io_context, std::function<void()> on_expired)
    : timer_(*io_context), on_expired_(std::move(on_expired)) {}

void LazyDeadline::Set(runtime::MonotonicTime time) {
  time_ = time;
  set_ = true;
  if (!armed_ || time_ < armed_at_) Arm();
}

void LazyDeadline::Arm() {
  armed_ = true;
  armed_at_ = time_;
  // Setting the expiry cancels the pending wait.
  timer_.expires_at(BootClock::time_point(time_.time_since_epoch()));
  timer_.async_wait([this, observer = lifetime_.Observe()](const boost::system::error_code& error) {
    if (!error && !observer.Ended()) OnTimer();
  });
}

void LazyDeadline::OnTimer() {
  armed_ = false;
  if (!set_) return;
  if (BootNow() < time_) {
    Arm();
    return;
  }
  set_ = false;
  // The callback may destroy this object.
  const std::function<void()> on_expired = on_expired_;
  on_expired();
}

}  // namespace posthatch::net
