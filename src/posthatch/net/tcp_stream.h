#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "posthatch/net/asio_types.h"
#include "posthatch/net/fault_injection.h"
#include "posthatch/net/lazy_deadline.h"
#include "posthatch/net/stream_faults.h"
#include "posthatch/net/write_queue.h"

namespace posthatch::net {

// A socket that was closed during an injected partition and is kept open until it heals, since the
// peer must not see the close before.
struct PartitionedSocket {
  std::string remote_endpoint;
  TcpSocket socket;
};

// State shared by the streams of one event loop. Owned by AsioRuntime.
struct IoEnvironment {
  boost::asio::io_context* io_context = nullptr;
  FaultInjection* faults = nullptr;  // null without --enable-fault-injection
  std::vector<PartitionedSocket> partitioned_sockets;
  // Shared by all streams: bytes are read into it and delivered immediately, so an idle connection
  // needs no buffer.
  std::string read_buffer = std::string(64UL * 1024, '\0');
};

// Closes the sockets whose peers are no longer partitioned; called after each change of the rules.
void CloseHealedSockets(IoEnvironment* environment);

// One TCP connection with a write queue and one deadline, used by the HTTP server, the HTTP client
// and the transport; network faults are injected here. Shared by its owner and its pending
// operations; the owner is not called after Close(), nor from within its own calls. Event loop
// thread only.
class TcpStream : public std::enable_shared_from_this<TcpStream> {
 public:
  class Owner {
   public:
    virtual void OnConnected() {}
    // `bytes` is valid during the call only.
    virtual void OnBytes(std::string_view bytes) = 0;
    // The peer has closed its sending side; writing may still work.
    virtual void OnReadEnd() = 0;
    // The connection is unusable. Status as from SocketError.
    virtual void OnBroken(absl::Status status) = 0;
    // Queued bytes were sent.
    virtual void OnProgress() {}
    virtual void OnDeadline() = 0;

   protected:
    ~Owner() = default;
  };

  // `remote_endpoint` names the peer for fault rules; its listening endpoint where known.
  TcpStream(IoEnvironment* environment, TcpSocket socket, std::string remote_endpoint,
            Owner* owner);

  // Connects to `endpoint` and reports OnConnected or OnBroken. The caller sets a deadline for it.
  void Connect(const TcpEndpoint& endpoint);
  // Sets the options of an accepted socket; reading starts with ResumeReading.
  void StartAccepted();

  void StopReading() { reading_enabled_ = false; }
  void ResumeReading();

  // Adds bytes to the write queue; nothing is sent before Flush.
  void Queue(std::string bytes);
  // Copies `bytes` to the end of the queue's last buffer; for short byte strings.
  void QueueCopy(std::string_view bytes);
  // Writes as much as the socket accepts now; the rest is written when it becomes writable.
  void Flush();
  // Flushes at the end of this event loop turn, together with everything queued until then.
  void FlushSoon();
  size_t queued_bytes() const { return queue_.bytes(); }
  // Number of sent bytes that the peer has not acknowledged; nullopt if unknown.
  std::optional<size_t> UnacknowledgedBytes();
  // Number of bytes written to the socket since the connection began.
  uint64_t written_bytes() const { return written_bytes_; }

  // Closes the sending side once the queue is written.
  void ShutdownSend();
  // Closes immediately; the owner is not called any more.
  void Close();
  // Closes as Close does, but with a reset: the peer loses what it has not read yet, and bytes not
  // delivered yet, for example because of a partition, never arrive.
  void Reset();
  bool open() const { return owner_ != nullptr; }

  void SetDeadline(runtime::MonotonicTime time) { deadline_.Set(time); }
  void SetDeadlineAfter(runtime::Duration delay) { deadline_.Set(BootNow() + delay); }
  void ClearDeadline() { deadline_.Clear(); }

  // Sets the peer's listening endpoint, once an accepted connection has identified itself.
  void set_remote_endpoint(std::string remote_endpoint) {
    remote_endpoint_ = std::move(remote_endpoint);
  }
  const std::string& remote_endpoint() const { return remote_endpoint_; }

 private:
  void StartConnect();
  void OnConnectDone(const boost::system::error_code& error);
  void WaitReadable();
  void OnReadable(const boost::system::error_code& error);
  void ReportReadEnd();
  void WaitWritable();
  bool WriteSome();
  void PostFailure(absl::Status status);
  void Fail(absl::Status status);
  bool Usable() const { return owner_ != nullptr && !broken_; }

  bool OutboundPartitioned() const {
    return faults_ != nullptr && faults_->OutboundPartitioned(remote_endpoint_);
  }
  bool InboundPartitioned() const {
    return faults_ != nullptr && faults_->InboundPartitioned(remote_endpoint_);
  }
  void OnFaultsChanged();
  void DeliverDelayed();
  void RecordQueuedForFaults();
  void ReleaseSocket();

  IoEnvironment* const environment_;
  TcpSocket socket_;
  std::string remote_endpoint_;
  Owner* owner_;
  LazyDeadline deadline_;
  TcpEndpoint connect_endpoint_;
  bool connecting_ = false;
  bool connect_started_ = false;
  bool connected_ = false;
  bool broken_ = false;
  bool reading_enabled_ = false;
  bool read_wait_pending_ = false;
  bool read_ended_ = false;
  bool write_wait_pending_ = false;
  bool flush_posted_ = false;
  bool shutdown_pending_ = false;
  bool reset_on_close_ = false;

  WriteQueue queue_;
  uint64_t written_bytes_ = 0;

  std::unique_ptr<StreamFaults> faults_;  // null without fault injection
};

}  // namespace posthatch::net
