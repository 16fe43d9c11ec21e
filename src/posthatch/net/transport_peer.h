#pragma once

#include <deque>
#include <memory>
#include <string>

#include "posthatch/net/asio_transport.h"
#include "posthatch/net/lazy_deadline.h"
#include "posthatch/net/tcp_stream.h"
#include "posthatch/net/transport_metrics.h"

namespace posthatch::net {

// State shared by the peers of one transport.
struct TransportPeerContext {
  IoEnvironment* environment = nullptr;
  TransportLimits limits;
  runtime::Random* random = nullptr;
  TransportMetrics* metrics = nullptr;
};

// The outgoing connection to one endpoint. Connects when there is something to send, and reconnects
// with exponential backoff after a failure. Messages queued when a connection attempt fails or the
// connection breaks are dropped; those sent during the backoff wait for the next attempt. Owned by
// the transport; event loop thread only.
class TransportPeer final : public TcpStream::Owner {
 public:
  TransportPeer(const TransportPeerContext* context, std::string endpoint,
                const TcpEndpoint& address);
  ~TransportPeer();
  TransportPeer(const TransportPeer&) = delete;
  TransportPeer& operator=(const TransportPeer&) = delete;

  void Send(std::string frame);
  // Whether nothing is queued and nothing was sent for the idle timeout; the transport may then
  // destroy the peer.
  bool Idle() const;

  void OnConnected() override;
  void OnBytes(std::string_view bytes) override;
  void OnReadEnd() override;
  void OnBroken(absl::Status status) override;
  void OnProgress() override;
  void OnDeadline() override;

 private:
  void Connect();
  void SendPendingFrames();
  void OnConnectionLost();
  void UpdateQueuedBytes(size_t now);

  const TransportPeerContext* const context_;
  const std::string endpoint_;
  const TcpEndpoint address_;
  std::shared_ptr<TcpStream> stream_;  // null unless connecting or connected
  bool connected_ = false;
  std::deque<std::string> pending_frames_;  // frames not yet handed to a connected stream
  size_t pending_bytes_ = 0;
  size_t reported_bytes_ = 0;  // contribution to the gauge of queued bytes
  runtime::Duration backoff_;
  LazyDeadline retry_;
  bool in_backoff_ = false;
  runtime::MonotonicTime last_sent_;
};

}  // namespace posthatch::net
