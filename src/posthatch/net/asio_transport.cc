#include "posthatch/net/asio_transport.h"

#include <array>
#include <boost/asio/basic_datagram_socket.hpp>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "posthatch/net/endpoint.h"
#include "posthatch/net/envelope_codec.h"
#include "posthatch/net/tcp_listener.h"
#include "posthatch/net/transport_peer.h"
#include "posthatch/util/string_view.h"

namespace posthatch::net {
namespace {

using runtime::Delivery;
using runtime::Envelope;
using runtime::Severity;

// How often peers that nothing was sent to are looked for.
constexpr runtime::Duration kSweepInterval = std::chrono::seconds(60);
constexpr size_t kMaxDatagramReceiveBytes = 64UL * 1024;
// Datagrams read in one turn, so that a flood doesn't starve the rest.
constexpr int kMaxDatagramsPerTurn = 64;
// A flood of garbage must not fill the log; each is counted.
constexpr runtime::Duration kMalformedEventInterval = std::chrono::seconds(1);
// Attempts to find a port that is free for both TCP and UDP.
constexpr int kBindAttempts = 16;

class AsioTransport;

// A connection made by a peer: frames come in, nothing goes out. Owned by the transport.
class InboundConnection final : public TcpStream::Owner {
 public:
  InboundConnection(AsioTransport* transport, IoEnvironment* environment, TcpSocket socket,
                    std::string remote_endpoint, size_t max_message_bytes)
      : transport_(transport),
        stream_(std::make_shared<TcpStream>(environment, std::move(socket),
                                            std::move(remote_endpoint), this)),
        decoder_(max_message_bytes) {
    stream_->StartAccepted();
    stream_->ResumeReading();
  }
  ~InboundConnection() { stream_->Close(); }
  InboundConnection(const InboundConnection&) = delete;
  InboundConnection& operator=(const InboundConnection&) = delete;

  // Its peer was cut off when it told its name: nothing is read until the peer connects anew.
  bool partitioned() const { return partitioned_; }
  const std::string& remote_endpoint() const { return stream_->remote_endpoint(); }

  void OnBytes(std::string_view bytes) override;
  void OnReadEnd() override;
  void OnBroken(absl::Status status) override;
  void OnDeadline() override {}

 private:
  bool Receive(const Envelope& envelope);

  AsioTransport* const transport_;
  std::shared_ptr<TcpStream> stream_;
  FrameDecoder decoder_;
  bool identified_ = false;
  bool partitioned_ = false;
};

class AsioTransport : public runtime::Transport {
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
        datagrams_(*environment->io_context),
        sweep_(environment->io_context, [this] { Sweep(); }) {
    if (environment->faults != nullptr) {
      fault_subscription_ = environment->faults->Subscribe([this] { CloseHealedConnections(); });
    }
  }

  ~AsioTransport() override {
    *alive_ = false;
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

  // For inbound connections.
  void Dispatch(const Envelope& envelope);
  void CountReceivedBytes(size_t bytes) {
    metrics_.received_bytes.Increment(static_cast<double>(bytes));
  }
  void CountReceivedMessage() { metrics_.received_stream.Increment(); }
  void ReportMalformed(const std::string& remote_endpoint, const absl::Status& status);
  void Forget(InboundConnection* connection) { inbound_.erase(connection); }
  const FaultInjection* faults() const { return environment_->faults; }

 private:
  absl::Status Bind(const TcpEndpoint& wanted);
  void Accept(TcpSocket socket, std::string remote_endpoint);
  void SendStream(const std::string& to_endpoint, const Envelope& envelope);
  void SendDatagram(const std::string& to_endpoint, const Envelope& envelope);
  void SendDatagramNow(const boost::asio::ip::udp::endpoint& to, const std::string& bytes);
  void WaitDatagram();
  void ReadDatagrams();
  void ReceiveDatagram(std::string_view bytes, const std::string& remote_endpoint);
  void Sweep();
  void CloseHealedConnections();

  IoEnvironment* const environment_;
  TransportIdentity identity_;
  runtime::TraceSink* const trace_;
  TransportMetrics metrics_;
  const TransportPeerContext peer_context_;
  TcpListener listener_;
  UdpSocket datagrams_;
  // Kept: a new one for each turn would be filled with zeros and given back each time.
  std::vector<char> datagram_buffer_ = std::vector<char>(kMaxDatagramReceiveBytes);
  LazyDeadline sweep_;
  absl::flat_hash_map<int, std::shared_ptr<const Receiver>> receivers_;
  absl::flat_hash_map<std::string, std::unique_ptr<TransportPeer>> peers_;
  absl::flat_hash_map<InboundConnection*, std::unique_ptr<InboundConnection>> inbound_;
  uint64_t fault_subscription_ = 0;
  runtime::MonotonicTime next_malformed_event_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

void InboundConnection::OnBytes(std::string_view bytes) {
  transport_->CountReceivedBytes(bytes.size());
  absl::Status status =
      decoder_.Feed(bytes, [this](const Envelope& envelope) { return Receive(envelope); });
  if (status.ok()) return;
  transport_->ReportMalformed(stream_->remote_endpoint(), status);
  transport_->Forget(this);
}

bool InboundConnection::Receive(const Envelope& envelope) {
  if (!identified_) {
    identified_ = true;
    // From here on rules that name the peer's listening endpoint hold for this connection too.
    stream_->set_remote_endpoint(envelope.from_endpoint());
    const FaultInjection* faults = transport_->faults();
    if (faults != nullptr && faults->DropsFrom(envelope.from_endpoint())) {
      partitioned_ = true;
      stream_->StopReading();
      return false;
    }
  }
  transport_->CountReceivedMessage();
  transport_->Dispatch(envelope);
  return true;
}

void InboundConnection::OnReadEnd() { transport_->Forget(this); }

void InboundConnection::OnBroken(absl::Status) { transport_->Forget(this); }

absl::Status AsioTransport::Listen() {
  const auto wanted = ParseEndpoint(identity_.endpoint);
  if (!wanted.ok()) return wanted.status();
  absl::Status status;
  for (int attempt = 0; attempt < kBindAttempts; ++attempt) {
    status = Bind(*wanted);
    if (status.ok() || wanted->port() != 0) break;
  }
  if (!status.ok()) return status;
  identity_.endpoint = FormatEndpoint(listener_.endpoint());
  WaitDatagram();
  sweep_.Set(BootNow() + kSweepInterval);
  return absl::OkStatus();
}

absl::Status AsioTransport::Bind(const TcpEndpoint& wanted) {
  absl::Status status =
      listener_.Listen(wanted, [this](TcpSocket socket, std::string remote_endpoint) {
        Accept(std::move(socket), std::move(remote_endpoint));
      });
  if (!status.ok()) return status;
  const boost::asio::ip::udp::endpoint address(wanted.address(), listener_.endpoint().port());
  boost::system::error_code error;
  datagrams_.open(address.protocol(), error);
  if (!error) datagrams_.non_blocking(true, error);
  if (!error) datagrams_.bind(address, error);
  if (!error) return absl::OkStatus();
  boost::system::error_code ignored;
  datagrams_.close(ignored);
  listener_.Close();
  return SocketError("bind UDP " + FormatEndpoint(listener_.endpoint()), error);
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
  const boost::asio::ip::udp::endpoint to(address->address(), address->port());
  const FaultInjection* faults = environment_->faults;
  if (faults == nullptr) return SendDatagramNow(to, bytes);
  if (faults->DropsTo(to_endpoint)) return;
  const runtime::Duration delay = faults->DelayTo(to_endpoint);
  if (delay == runtime::Duration::zero()) return SendDatagramNow(to, bytes);
  auto timer = std::make_shared<BootTimer>(*environment_->io_context);
  timer->expires_after(delay);
  timer->async_wait([this, alive = alive_, timer, to, bytes](const boost::system::error_code&) {
    if (*alive) SendDatagramNow(to, bytes);
  });
}

void AsioTransport::SendDatagramNow(const boost::asio::ip::udp::endpoint& to,
                                    const std::string& bytes) {
  boost::system::error_code error;
  datagrams_.send_to(boost::asio::buffer(bytes), to, 0, error);
  if (error) {
    metrics_.datagram_failed.Increment();
    return;
  }
  metrics_.sent_datagram.Increment();
  metrics_.sent_bytes.Increment(static_cast<double>(bytes.size()));
}

void AsioTransport::WaitDatagram() {
  datagrams_.async_wait(UdpSocket::wait_read,
                        [this, alive = alive_](const boost::system::error_code& error) {
                          if (error || !*alive) return;
                          ReadDatagrams();
                          if (*alive) WaitDatagram();
                        });
}

void AsioTransport::ReadDatagrams() {
  const auto alive = alive_;
  std::vector<char>& buffer = datagram_buffer_;
  for (int count = 0; count < kMaxDatagramsPerTurn && *alive; ++count) {
    boost::asio::ip::udp::endpoint from;
    boost::system::error_code error;
    const size_t size = datagrams_.receive_from(boost::asio::buffer(buffer), from, 0, error);
    if (error == boost::asio::error::would_block) return;
    if (error) continue;  // an ICMP error of an earlier send
    ReceiveDatagram({buffer.data(), size},
                    FormatEndpoint(TcpEndpoint(from.address(), from.port())));
  }
}

void AsioTransport::ReceiveDatagram(std::string_view bytes, const std::string& remote_endpoint) {
  CountReceivedBytes(bytes.size());
  Envelope envelope;
  absl::Status status = ParseEnvelope(bytes, &envelope);
  if (!status.ok()) return ReportMalformed(remote_endpoint, status);
  const FaultInjection* faults = environment_->faults;
  if (faults != nullptr && faults->DropsFrom(envelope.from_endpoint())) return;
  metrics_.received_datagram.Increment();
  Dispatch(envelope);
}

void AsioTransport::ReportMalformed(const std::string& remote_endpoint,
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

// A connection that was silenced by a cut has lost frames: once the cut heals, the peer has to see
// it break and connect anew.
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
