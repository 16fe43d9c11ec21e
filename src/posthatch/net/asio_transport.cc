#include "posthatch/net/asio_transport.h"

#include <utility>

#include "absl/container/flat_hash_map.h"
#include "posthatch/net/datagram_socket.h"
#include "posthatch/net/endpoint.h"
#include "posthatch/net/envelope_codec.h"
#include "posthatch/net/inbound_connection.h"
#include "posthatch/net/tcp_listener.h"
#include "posthatch/net/transport_peer.h"
#include "posthatch/util/string_view.h"

namespace posthatch::net {
namespace {

using runtime::Delivery;
using runtime::Envelope;
using runtime::Severity;

// How often idle peers are removed.
constexpr runtime::Duration kSweepInterval = std::chrono::seconds(60);
// Malformed messages are all counted, but logged at most this often.
constexpr runtime::Duration kMalformedEventInterval = std::chrono::seconds(1);
// Attempts to find a port that is free for both TCP and UDP.
constexpr int kBindAttempts = 16;

class AsioTransport : public runtime::Transport,
                      public InboundConnection::Listener,
                      public DatagramSocket::Listener {
 public:
  AsioTransport(IoEnvironment* environment, const TransportIdentity& identity,
                const TransportLimits& limits, runtime::Random* random, runtime::TraceSink* trace,
                prometheus::Registry* metrics)
      : environment_(environment),
        identity_(identity),
        trace_(trace),
        metrics_(metrics),
        peer_context_{environment, limits, random, &metrics_},
        listener_(environment),
        datagrams_(environment, &metrics_, this),
        sweep_(environment->io_context, [this] { Sweep(); }) {
    if (environment->faults != nullptr) {
      fault_subscription_ = environment->faults->Subscribe([this] { CloseHealedConnections(); });
    }
  }

  ~AsioTransport() override {
    if (environment_->faults != nullptr) environment_->faults->Unsubscribe(fault_subscription_);
    listener_.Close();
  }

  absl::Status Listen();

  const std::string& endpoint() const override { return identity_.endpoint; }
  const std::string& node_id() const override { return identity_.node_id; }
  uint64_t incarnation() const override { return identity_.incarnation; }
  void SetReceiver(runtime::Service service, Receiver receiver) override {
    receivers_[service] = std::make_shared<const Receiver>(std::move(receiver));
  }
  void Send(const std::string& to_endpoint, runtime::Service service, std::string payload,
            Delivery delivery) override;

 private:
  absl::Status Bind(const TcpEndpoint& requested);
  void Accept(TcpSocket socket, std::string remote_endpoint);
  void SendStream(const std::string& to_endpoint, const Envelope& envelope);
  void SendDatagram(const std::string& to_endpoint, const Envelope& envelope);
  void OnInboundBytes(size_t bytes) override {
    metrics_.received_bytes.Increment(static_cast<double>(bytes));
  }
  void OnInboundMessage(const Envelope& envelope) override;
  void OnInboundMalformed(const std::string& remote_endpoint, const absl::Status& status) override;
  void OnInboundClosed(InboundConnection* connection) override { inbound_.erase(connection); }
  void OnDatagram(std::string_view bytes, const std::string& remote_endpoint) override;
  void Dispatch(const Envelope& envelope);
  void Sweep();
  void CloseHealedConnections();

  IoEnvironment* const environment_;
  TransportIdentity identity_;
  runtime::TraceSink* const trace_;
  TransportMetrics metrics_;
  const TransportPeerContext peer_context_;
  TcpListener listener_;
  DatagramSocket datagrams_;
  LazyDeadline sweep_;
  absl::flat_hash_map<int, std::shared_ptr<const Receiver>> receivers_;
  absl::flat_hash_map<std::string, std::unique_ptr<TransportPeer>> peers_;
  absl::flat_hash_map<InboundConnection*, std::unique_ptr<InboundConnection>> inbound_;
  uint64_t fault_subscription_ = 0;
  runtime::MonotonicTime next_malformed_event_;
};

absl::Status AsioTransport::Listen() {
  const auto requested = ParseEndpoint(identity_.endpoint);
  if (!requested.ok()) return requested.status();
  absl::Status status;
  for (int attempt = 0; attempt < kBindAttempts; ++attempt) {
    status = Bind(*requested);
    if (status.ok() || requested->port() != 0) break;
  }
  if (!status.ok()) return status;
  identity_.endpoint = FormatEndpoint(listener_.endpoint());
  datagrams_.StartReceiving();
  sweep_.Set(BootNow() + kSweepInterval);
  return absl::OkStatus();
}

absl::Status AsioTransport::Bind(const TcpEndpoint& requested) {
  absl::Status status =
      listener_.Listen(requested, [this](TcpSocket socket, std::string remote_endpoint) {
        Accept(std::move(socket), std::move(remote_endpoint));
      });
  if (!status.ok()) return status;
  status = datagrams_.Bind(TcpEndpoint(requested.address(), listener_.endpoint().port()));
  if (!status.ok()) listener_.Close();
  return status;
}

void AsioTransport::Accept(TcpSocket socket, std::string remote_endpoint) {
  if (inbound_.size() >= peer_context_.limits.max_inbound_connections) return;
  auto connection = std::make_unique<InboundConnection>(this, environment_, std::move(socket),
                                                        std::move(remote_endpoint),
                                                        peer_context_.limits.max_message_bytes);
  InboundConnection* const key = connection.get();
  inbound_.emplace(key, std::move(connection));
}

void AsioTransport::Send(const std::string& to_endpoint, runtime::Service service,
                         std::string payload, Delivery delivery) {
  Envelope envelope;
  envelope.set_service(service);
  envelope.set_from_node(identity_.node_id);
  envelope.set_from_endpoint(identity_.endpoint);
  envelope.set_from_incarnation(identity_.incarnation);
  envelope.set_payload(std::move(payload));
  if (delivery == Delivery::kStream) {
    SendStream(to_endpoint, envelope);
  } else {
    SendDatagram(to_endpoint, envelope);
  }
}

void AsioTransport::SendStream(const std::string& to_endpoint, const Envelope& envelope) {
  if (envelope.ByteSizeLong() > peer_context_.limits.max_message_bytes) {
    metrics_.too_long.Increment();
    trace_->Event(Severity::kError, "TransportMessageTooLong",
                  {{"to", to_endpoint}, {"bytes", envelope.ByteSizeLong()}});
    return;
  }
  auto& peer = peers_[to_endpoint];
  if (peer == nullptr) {
    const auto address = ParseEndpoint(to_endpoint);
    if (!address.ok()) {
      peers_.erase(to_endpoint);
      metrics_.malformed.Increment();
      return;
    }
    peer = std::make_unique<TransportPeer>(&peer_context_, to_endpoint, *address);
  }
  peer->Send(EncodeFrame(envelope));
}

void AsioTransport::SendDatagram(const std::string& to_endpoint, const Envelope& envelope) {
  const auto address = ParseEndpoint(to_endpoint);
  const std::string bytes = envelope.SerializeAsString();
  if (!address.ok() || bytes.size() > runtime::kMaxDatagramBytes) {
    (address.ok() ? metrics_.too_long : metrics_.malformed).Increment();
    return;
  }
  datagrams_.Send(to_endpoint, *address, bytes);
}

void AsioTransport::OnInboundMessage(const Envelope& envelope) {
  metrics_.received_stream.Increment();
  Dispatch(envelope);
}

void AsioTransport::OnDatagram(std::string_view bytes, const std::string& remote_endpoint) {
  OnInboundBytes(bytes.size());
  Envelope envelope;
  absl::Status status = ParseEnvelope(bytes, &envelope);
  if (!status.ok()) return OnInboundMalformed(remote_endpoint, status);
  const FaultInjection* faults = environment_->faults;
  if (faults != nullptr && faults->DropsFrom(envelope.from_endpoint())) return;
  metrics_.received_datagram.Increment();
  Dispatch(envelope);
}

void AsioTransport::OnInboundMalformed(const std::string& remote_endpoint,
                                       const absl::Status& status) {
  metrics_.malformed.Increment();
  const runtime::MonotonicTime now = BootNow();
  if (now < next_malformed_event_) return;
  next_malformed_event_ = now + kMalformedEventInterval;
  trace_->Event(Severity::kWarning, "TransportMessageMalformed",
                {{"remote", remote_endpoint}, {"error", util::ToStd(status.message())}});
}

void AsioTransport::Dispatch(const Envelope& envelope) {
  const auto receiver = receivers_.find(envelope.service());
  if (receiver == receivers_.end()) {
    metrics_.no_receiver.Increment();
    return;
  }
  const std::shared_ptr<const Receiver> callback = receiver->second;
  if (*callback) (*callback)(envelope);
}

void AsioTransport::Sweep() {
  absl::erase_if(peers_, [](const auto& entry) { return entry.second->Idle(); });
  sweep_.Set(BootNow() + kSweepInterval);
}

// A connection that was stopped by a partition has lost frames. Once the partition heals, the peer
// has to see it break and reconnect.
void AsioTransport::CloseHealedConnections() {
  absl::erase_if(inbound_, [this](const auto& entry) {
    return entry.second->partitioned() &&
           !environment_->faults->DropsFrom(entry.second->remote_endpoint());
  });
}

}  // namespace

absl::StatusOr<std::unique_ptr<runtime::Transport>> MakeAsioTransport(
    IoEnvironment* environment, const TransportIdentity& identity, const TransportLimits& limits,
    runtime::Random* random, runtime::TraceSink* trace, prometheus::Registry* metrics) {
  auto transport =
      std::make_unique<AsioTransport>(environment, identity, limits, random, trace, metrics);
  absl::Status status = transport->Listen();
  if (!status.ok()) return status;
  return transport;
}

}  // namespace posthatch::net
