#pragma once

#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <ctime>

#include "posthatch/runtime/clock.h"

// Asio types over the concrete executor of one io_context, which saves the type-erased one's
// allocations. Included by .cc files and private headers of this folder only.
namespace posthatch::net {

using IoExecutor = boost::asio::io_context::executor_type;
using TcpSocket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, IoExecutor>;
using TcpAcceptor = boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, IoExecutor>;
using UdpSocket = boost::asio::basic_datagram_socket<boost::asio::ip::udp, IoExecutor>;
using TcpEndpoint = boost::asio::ip::tcp::endpoint;

// CLOCK_BOOTTIME as a clock for Asio's timers: it counts while the machine is suspended.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;

  static time_point now() {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
  }
};

using BootTimer =
    boost::asio::basic_waitable_timer<BootClock, boost::asio::wait_traits<BootClock>, IoExecutor>;

inline runtime::MonotonicTime BootNow() {
  return runtime::MonotonicTime(BootClock::now().time_since_epoch());
}

}  // namespace posthatch::net
