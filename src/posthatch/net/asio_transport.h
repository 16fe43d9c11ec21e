#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "posthatch/net/tcp_stream.h"
#include "posthatch/net/transport_limits.h"
#include "posthatch/runtime/random.h"
#include "posthatch/runtime/trace.h"
#include "posthatch/runtime/transport.h"
#include "prometheus/registry.h"

namespace posthatch::net {

struct TransportIdentity {
  std::string node_id;
  std::string endpoint;  // "ip:port"; port 0: the kernel chooses one
  uint64_t incarnation = 0;
};

// Messages over TCP, one connection per direction and pair of processes, and over UDP on the same
// port number. A connection carries frames (envelope_codec.h) one way only; responses arrive on the
// connection that the peer opened. All pointers outlive the transport. Event loop thread only.
// Errors: FailedPrecondition (address in use), InvalidArgument, Unavailable.
absl::StatusOr<std::unique_ptr<runtime::Transport>> MakeAsioTransport(
    IoEnvironment* environment, const TransportIdentity& identity, const TransportLimits& limits,
    runtime::Random* random, runtime::TraceSink* trace, prometheus::Registry* metrics);

}  // namespace posthatch::net
