#pragma once

#include <chrono>
#include <cstddef>

#include "posthatch/runtime/clock.h"

namespace posthatch::net {

struct TransportLimits {
  // A longer message is dropped by the sender, and ends the connection at the receiver.
  size_t max_message_bytes = size_t{16} * 1024 * 1024;
  // Limit of the bytes queued for one endpoint; further messages are dropped.
  size_t max_queue_bytes = size_t{32} * 1024 * 1024;
  size_t max_inbound_connections = 4096;
  runtime::Duration connect_timeout = std::chrono::milliseconds(500);
  // A peer that reads nothing for this long is considered unreachable: the connection is closed and
  // its queue is dropped.
  runtime::Duration stall_timeout = std::chrono::seconds(5);
  // Backoff between connection attempts: doubled after each failure, with jitter.
  runtime::Duration min_backoff = std::chrono::milliseconds(50);
  runtime::Duration max_backoff = std::chrono::seconds(1);
  // Outgoing connections without traffic for this long are closed.
  runtime::Duration idle_timeout = std::chrono::minutes(5);
};

}  // namespace posthatch::net
