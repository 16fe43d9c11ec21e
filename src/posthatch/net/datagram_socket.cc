#include "posthatch/net/datagram_socket.h"

#include <memory>

#include "posthatch/net/endpoint.h"

namespace posthatch::net {
namespace {

constexpr size_t kMaxDatagramReceiveBytes = 64UL * 1024;
// Datagrams read in one event loop turn, so that a flood can't starve other work.
constexpr int kMaxDatagramsPerTurn = 64;

}  // namespace

DatagramSocket::DatagramSocket(IoEnvironment* environment, TransportMetrics* metrics,
                               Listener* listener)
    : environment_(environment),
      metrics_(metrics),
      listener_(listener),
      socket_(*environment->io_context),
      buffer_(kMaxDatagramReceiveBytes) {}

absl::Status DatagramSocket::Bind(const TcpEndpoint& endpoint) {
  const UdpEndpoint address(endpoint.address(), endpoint.port());
  boost::system::error_code error;
  socket_.open(address.protocol(), error);
  if (!error) socket_.non_blocking(true, error);
  if (!error) socket_.bind(address, error);
  if (!error) return absl::OkStatus();
  boost::system::error_code ignored;
  socket_.close(ignored);
  return SocketError("bind UDP " + FormatEndpoint(endpoint), error);
}

void DatagramSocket::Send(const std::string& to_endpoint, const TcpEndpoint& address,
                          const std::string& bytes) {
  const UdpEndpoint to(address.address(), address.port());
  const FaultInjection* faults = environment_->faults;
  if (faults == nullptr) return SendNow(to, bytes);
  if (faults->DropsTo(to_endpoint)) return;
  const runtime::Duration delay = faults->DelayTo(to_endpoint);
  if (delay == runtime::Duration::zero()) return SendNow(to, bytes);
  auto timer = std::make_shared<BootTimer>(*environment_->io_context);
  timer->expires_after(delay);
  timer->async_wait(lifetime_.Guard(
      [this, timer, to, bytes](const boost::system::error_code&) { SendNow(to, bytes); }));
}

void DatagramSocket::SendNow(const UdpEndpoint& to, const std::string& bytes) {
  boost::system::error_code error;
  socket_.send_to(boost::asio::buffer(bytes), to, 0, error);
  if (error) {
    metrics_->datagram_failed.Increment();
    return;
  }
  metrics_->sent_datagram.Increment();
  metrics_->sent_bytes.Increment(static_cast<double>(bytes.size()));
}

void DatagramSocket::WaitReadable() {
  socket_.async_wait(UdpSocket::wait_read, [this, observer = lifetime_.Observe()](
                                               const boost::system::error_code& error) {
    if (error || observer.Ended()) return;
    ReadAvailable();
    if (!observer.Ended()) WaitReadable();
  });
}

void DatagramSocket::ReadAvailable() {
  const util::Lifetime::Observer observer = lifetime_.Observe();
  for (int count = 0; count < kMaxDatagramsPerTurn && !observer.Ended(); ++count) {
    UdpEndpoint from;
    boost::system::error_code error;
    const size_t size = socket_.receive_from(boost::asio::buffer(buffer_), from, 0, error);
    if (error == boost::asio::error::would_block) return;
    if (error) continue;  // an ICMP error caused by an earlier send
    listener_->OnDatagram({buffer_.data(), size},
                          FormatEndpoint(TcpEndpoint(from.address(), from.port())));
  }
}

}  // namespace posthatch::net
