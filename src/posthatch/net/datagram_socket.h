#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "posthatch/net/tcp_stream.h"
#include "posthatch/net/transport_metrics.h"
#include "posthatch/util/lifetime.h"

namespace posthatch::net {

// Sends and receives datagrams on one UDP port and injects faults into outgoing datagrams. Owned by
// the transport; event loop thread only.
class DatagramSocket {
 public:
  class Listener {
   public:
    // `bytes` is valid during the call only. May destroy the socket.
    virtual void OnDatagram(std::string_view bytes, const std::string& remote_endpoint) = 0;

   protected:
    ~Listener() = default;
  };

  // The arguments must outlive the socket.
  DatagramSocket(IoEnvironment* environment, TransportMetrics* metrics, Listener* listener);
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  // May be called again after an error. Errors as from SocketError.
  absl::Status Bind(const TcpEndpoint& endpoint);
  // Starts receiving, until the socket is destroyed.
  void StartReceiving() { WaitReadable(); }
  // Sends `bytes` to `address`; fault rules refer to the address as `to_endpoint`.
  void Send(const std::string& to_endpoint, const TcpEndpoint& address, const std::string& bytes);

 private:
  using UdpEndpoint = boost::asio::ip::udp::endpoint;

  void SendNow(const UdpEndpoint& to, const std::string& bytes);
  void WaitReadable();
  void ReadAvailable();

  IoEnvironment* const environment_;
  TransportMetrics* const metrics_;
  Listener* const listener_;
  UdpSocket socket_;
  // Reused for every datagram: allocating and zeroing 64 KiB in each event loop turn would be
  // measurable.
  std::vector<char> buffer_;
  util::Lifetime lifetime_;
};

}  // namespace posthatch::net
