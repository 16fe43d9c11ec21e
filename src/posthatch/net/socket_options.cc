#include "posthatch/net/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace posthatch::net {
namespace {

// A connection fails when sent bytes stay unacknowledged for kTcpUserTimeoutMs, or when
// kKeepAliveProbes probes of an idle connection are not acknowledged.
constexpr int kTcpUserTimeoutMs = 2000;
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;

void SetTcpOption(int descriptor, int option, const int& value) {
  setsockopt(descriptor, IPPROTO_TCP, option, &value, sizeof(value));
}

void EnableDeadPeerDetection(int descriptor) {
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  SetTcpOption(descriptor, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetTcpOption(descriptor, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetTcpOption(descriptor, TCP_KEEPCNT, kKeepAliveProbes);
  SetTcpOption(descriptor, TCP_USER_TIMEOUT, kTcpUserTimeoutMs);
}

}  // namespace

void SetStreamOptions(TcpSocket* socket) {
  boost::system::error_code ignored;
  socket->non_blocking(true, ignored);
  socket->set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  EnableDeadPeerDetection(socket->native_handle());
}

}  // namespace posthatch::net
