#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "posthatch/net/envelope_codec.h"
#include "posthatch/net/tcp_stream.h"
#include "posthatch/runtime/transport.h"

namespace posthatch::net {

// A connection opened by a peer; it carries frames from the peer only. Owned by the transport;
// event loop thread only.
class InboundConnection final : public TcpStream::Owner {
 public:
  // Events of a connection. Each method may destroy the connection that calls it.
  class Listener {
   public:
    virtual void OnInboundBytes(size_t bytes) = 0;
    virtual void OnInboundMessage(const runtime::Envelope& envelope) = 0;
    // The stream can't be decoded further; OnInboundClosed follows.
    virtual void OnInboundMalformed(const std::string& remote_endpoint,
                                    const absl::Status& status) = 0;
    virtual void OnInboundClosed(InboundConnection* connection) = 0;

   protected:
    ~Listener() = default;
  };

  // Starts reading. `environment` and `listener` outlive the connection.
  InboundConnection(Listener* listener, IoEnvironment* environment, TcpSocket socket,
                    std::string remote_endpoint, size_t max_message_bytes);
  ~InboundConnection();
  InboundConnection(const InboundConnection&) = delete;
  InboundConnection& operator=(const InboundConnection&) = delete;

  // Whether the peer was behind an injected partition when it identified itself. Nothing is read
  // from then on; the peer has to reconnect once the partition heals.
  bool partitioned() const { return partitioned_; }
  const std::string& remote_endpoint() const { return stream_->remote_endpoint(); }

  void OnBytes(std::string_view bytes) override;
  void OnReadEnd() override;
  void OnBroken(absl::Status status) override;
  void OnDeadline() override {}

 private:
  // Returns false to stop reading the stream.
  bool Receive(const runtime::Envelope& envelope);

  Listener* const listener_;
  const FaultInjection* const faults_;  // null without fault injection
  std::shared_ptr<TcpStream> stream_;
  FrameDecoder decoder_;
  bool identified_ = false;
  bool partitioned_ = false;
};

}  // namespace posthatch::net
