#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "posthatch/net/fault_injection.h"
#include "posthatch/net/lazy_deadline.h"

namespace posthatch::net {

// Injected faults of one TcpStream: partitions, and delayed sending and receiving. Exists only in
// processes with fault injection enabled. Owned by its stream.
class StreamFaults {
 public:
  // `resume` runs when the fault rules have changed or delayed bytes are due.
  StreamFaults(boost::asio::io_context* io_context, FaultInjection* faults,
               const std::function<void()>& resume);
  ~StreamFaults();
  StreamFaults(const StreamFaults&) = delete;
  StreamFaults& operator=(const StreamFaults&) = delete;

  bool OutboundPartitioned(const std::string& remote) const { return faults_->DropsTo(remote); }
  bool InboundPartitioned(const std::string& remote) const { return faults_->DropsFrom(remote); }
  // Whether a connection attempt may start now; `resume` runs later otherwise.
  bool MayConnect(const std::string& remote);

  // Records that the write queue now ends at `end_position` (bytes since the connection began).
  void RecordQueued(const std::string& remote, uint64_t end_position);
  // Position up to which bytes may be sent now, at most `end_position`.
  uint64_t SendLimit(uint64_t end_position);

  // Stores received bytes (empty: the end of the peer's stream) if they have to be delayed.
  bool DelayReceived(const std::string& remote, std::string_view bytes);
  // Removes and returns the next delayed bytes that are due; empty bytes: the end of the stream.
  std::optional<std::string> TakeDueReceived();

 private:
  struct SendWatermark {
    runtime::MonotonicTime due;
    uint64_t end_position;
  };
  struct Received {
    runtime::MonotonicTime due;
    std::string bytes;
  };

  FaultInjection* const faults_;
  const uint64_t subscription_;
  LazyDeadline timer_;
  std::optional<runtime::MonotonicTime> connect_due_;
  std::deque<SendWatermark> send_watermarks_;
  uint64_t released_ = 0;  // position up to which bytes were released for sending
  std::deque<Received> received_;
};

}  // namespace posthatch::net
