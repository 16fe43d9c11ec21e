#include "posthatch/net/inbound_connection.h"

#include <utility>

namespace posthatch::net {

InboundConnection::InboundConnection(Listener* listener, IoEnvironment* environment,
                                     TcpSocket socket, std::string remote_endpoint,
                                     size_t max_message_bytes)
    : listener_(listener),
      faults_(environment->faults),
      stream_(std::make_shared<TcpStream>(environment, std::move(socket),
                                          std::move(remote_endpoint), this)),
      decoder_(max_message_bytes) {
  stream_->StartAccepted();
  stream_->ResumeReading();
}

InboundConnection::~InboundConnection() { stream_->Close(); }

void InboundConnection::OnBytes(std::string_view bytes) {
  listener_->OnInboundBytes(bytes.size());
  absl::Status status =
      decoder_.Feed(bytes, [this](const runtime::Envelope& envelope) { return Receive(envelope); });
  if (status.ok()) return;
  listener_->OnInboundMalformed(stream_->remote_endpoint(), status);
  listener_->OnInboundClosed(this);
}

bool InboundConnection::Receive(const runtime::Envelope& envelope) {
  if (!identified_) {
    identified_ = true;
    // From here on, fault rules for the peer's listening endpoint apply to this connection too.
    stream_->set_remote_endpoint(envelope.from_endpoint());
    if (faults_ != nullptr && faults_->DropsFrom(envelope.from_endpoint())) {
      partitioned_ = true;
      stream_->StopReading();
      return false;
    }
  }
  listener_->OnInboundMessage(envelope);
  return true;
}

void InboundConnection::OnReadEnd() { listener_->OnInboundClosed(this); }

void InboundConnection::OnBroken(absl::Status) { listener_->OnInboundClosed(this); }

}  // namespace posthatch::net
