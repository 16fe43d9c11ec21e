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

// A socket that was closed while its peer was behind a partition: the peer must not see the end
// before the partition heals.
struct PartitionedSocket {
  std::string remote_endpoint;
  TcpSocket socket;
};

// What the streams of one event loop share. Owned by AsioRuntime.
struct IoEnvironment {
  boost::asio::io_context* io_context = nullptr;
  FaultInjection* faults = nullptr;  // null unless the process was started for a rehearsal
  std::vector<PartitionedSocket> partitioned_sockets;
  // Bytes are read into this and handed on at once, so an idle connection holds no buffer.
  std::string read_buffer = std::string(64UL * 1024, '\0');
};

// Closes the kept sockets whose peers are no longer cut off; run after each change of the rules.
void CloseHealedSockets(IoEnvironment* environment);

// One TCP connection with a write queue and one deadline: the common ground of the HTTP server,
// the HTTP client and the transport, and the place where faults of the network are injected.
// Shared by its owner and its pending operations; the owner hears nothing after Close(). No owner
// method runs from within a call of the owner. Event loop thread only.
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
    // Bytes of the queue were handed to the network.
    virtual void OnProgress() {}
    virtual void OnDeadline() = 0;

   protected:
    ~Owner() = default;
  };

  // `remote_endpoint` names the peer for fault rules; its listening endpoint where known.
  TcpStream(IoEnvironment* environment, TcpSocket socket, std::string remote_endpoint,
            Owner* owner);

  // Connects to `endpoint` and reports OnConnected or OnBroken. Set a deadline beside it.
  void Connect(const TcpEndpoint& endpoint);
  // For an accepted socket: sets options; reading starts with ResumeReading.
  void StartAccepted();

  void StopReading() { reading_enabled_ = false; }
  void ResumeReading();

  // Adds bytes to the write queue; nothing is sent before Flush.
  void Queue(std::string bytes);
  // Adds to the last piece of the queue; for small pieces.
  void QueueCopy(std::string_view bytes);
  // Hands to the network what it takes now; the rest follows by itself.
  void Flush();
  // Flushes at the end of this turn of the event loop, together with what is queued until then.
  void FlushSoon();
  size_t queued_bytes() const { return queue_.bytes(); }
  // Bytes handed to the network that the peer has not acknowledged; nothing if that can't be told.
  std::optional<size_t> UnacknowledgedBytes();
  // Bytes handed to the network since the connection began.
  uint64_t written_bytes() const { return written_bytes_; }

  // Tells the peer that nothing more is sent.
  void ShutdownSend();
  // Ends the connection at once; the owner is forgotten.
  void Close();
  // As Close, but the peer sees a reset and loses what it has not read yet. What still waits to be
  // delivered, as behind a cut, never arrives.
  void Reset();
  bool open() const { return owner_ != nullptr; }

  void SetDeadline(runtime::MonotonicTime time) { deadline_.Set(time); }
  void SetDeadlineAfter(runtime::Duration delay) { deadline_.Set(BootNow() + delay); }
  void ClearDeadline() { deadline_.Clear(); }

  // Names the peer's listening endpoint, once an accepted connection has told it.
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
