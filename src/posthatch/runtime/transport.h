#pragma once

#include <functional>
#include <string>

#include "posthatch/runtime/transport.pb.h"

namespace posthatch::runtime {

enum class Delivery {
  kStream,    // TCP: ordered per connection; may be lost when it breaks
  kDatagram,  // UDP: may be lost, reordered or duplicated; at most kMaxDatagramBytes
};

inline constexpr size_t kMaxDatagramBytes = 1200;

// Messages between posthatch processes. Send never blocks and never reports delivery: a receiving
// component acknowledges what matters. Decision modules must tolerate loss, duplication and, across
// connections, reordering. Event loop thread only.
class Transport {
 public:
  using Receiver = std::function<void(const Envelope&)>;

  virtual ~Transport() = default;
  // Internal endpoint of the local process, "ip:port".
  virtual const std::string& endpoint() const = 0;
  virtual const std::string& node_id() const = 0;
  // Random number drawn at process start; carried in each envelope.
  virtual uint64_t incarnation() const = 0;
  virtual void SetReceiver(Service service, Receiver receiver) = 0;
  // Queues `payload` for `service` at `to_endpoint`. Beyond the queue's byte limit for that
  // endpoint the message is dropped and counted.
  virtual void Send(const std::string& to_endpoint, Service service, std::string payload,
                    Delivery delivery) = 0;
};

}  // namespace posthatch::runtime
