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

// The faults of one TcpStream: cuts, and bytes that are sent or received late. Exists only in
// processes with fault injection. Owned by its stream.
class StreamFaults {
 public:
  // `resume` runs when rules have changed or something held back has come due.
  StreamFaults(boost::asio::io_context* io_context, FaultInjection* faults,
               const std::function<void()>& resume);
  ~StreamFaults();
  StreamFaults(const StreamFaults&) = delete;
  StreamFaults& operator=(const StreamFaults&) = delete;

  bool OutboundPartitioned(const std::string& remote) const { return faults_->DropsTo(remote); }
  bool InboundPartitioned(const std::string& remote) const { return faults_->DropsFrom(remote); }
  // Whether a connection attempt may start; if not, `resume` runs later.
  bool MayConnect(const std::string& remote);

  // Notes that the write queue now ends at `end_position` (bytes since the connection began).
  void RecordQueued(const std::string& remote, uint64_t end_position);
  // Position up to which bytes may be sent now.
  uint64_t SendLimit(uint64_t end_position);

  // Takes received bytes (empty: the end of the peer's sending) if they have to wait.
  bool DelayReceived(const std::string& remote, std::string_view bytes);
  // Next held bytes that are due.
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
  uint64_t released_ = 0;  // position up to which marks have come due
  std::deque<Received> received_;
};

}  // namespace posthatch::net
