#pragma once

#include <chrono>
#include <cstddef>

#include "posthatch/runtime/clock.h"

namespace posthatch::net {

struct TransportLimits {
  // A longer message is dropped by the sender, and ends the connection at the receiver.
  size_t max_message_bytes = size_t{16} * 1024 * 1024;
  // What waits for one endpoint; further messages are dropped.
  size_t max_queue_bytes = size_t{32} * 1024 * 1024;
  size_t max_inbound_connections = 4096;
  runtime::Duration connect_timeout = std::chrono::milliseconds(500);
  // A peer that takes nothing for so long is taken for cut off: the connection is closed and what
  // waited for it is dropped.
  runtime::Duration stall_timeout = std::chrono::seconds(5);
  // Between attempts to connect; doubled after each failure, with jitter.
  runtime::Duration min_backoff = std::chrono::milliseconds(50);
  runtime::Duration max_backoff = std::chrono::seconds(1);
  // An outgoing connection that has carried nothing for so long is closed.
  runtime::Duration idle_timeout = std::chrono::minutes(5);
};

}  // namespace posthatch::net
