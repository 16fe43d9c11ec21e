#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace posthatch::gateway {

enum class RoutingMode {
  kPrefixAware,  // trusted prefix against load
  kRoundRobin,   // the baseline that rehearsals compare with: ignores prefixes and load
};

// The name in the settings.
inline std::string_view RoutingModeName(RoutingMode mode) {
  return mode == RoutingMode::kRoundRobin ? "round_robin" : "prefix_aware";
}

// The reverse of RoutingModeName; nothing for any other text.
inline std::optional<RoutingMode> ParseRoutingMode(std::string_view name) {
  for (const RoutingMode mode : {RoutingMode::kPrefixAware, RoutingMode::kRoundRobin}) {
    if (RoutingModeName(mode) == name) return mode;
  }
  return std::nullopt;
}

// What the process assembly gives a Gateway. Limits that operators change at run time are in
// control.RoutingPolicy instead.
struct GatewayOptions {
  std::string gateway_id;          // node id, sent to back ends as X-Posthatch-Gateway
  std::string zone;                // back ends of this zone are preferred
  std::string inventory_endpoint;  // "ip:port" of the platform's list; empty: never read here
  RoutingMode routing_mode = RoutingMode::kPrefixAware;
  // Requests in flight at this gateway. The lowest priority is refused from 70% of it on.
  size_t max_concurrent_requests = 4096;
  // Bytes of one stream that wait for a slow caller before the worker is no longer read.
  size_t max_stream_buffer_bytes = size_t{256} * 1024;
  // Longest whole answer taken from a back end.
  size_t max_response_bytes = size_t{8} * 1024 * 1024;
  // Dispatches of one request, with the first.
  uint32_t max_attempts = 3;
  // Reads of the platform's list that all gateways together may make, per second.
  double inventory_reads_per_second = 4.0;
  // Live gateways of the fleet with this one. Limits that hold for the fleet are divided by it.
  // Null: this gateway is the only one.
  std::function<uint32_t()> live_gateways;

  uint32_t LiveGateways() const {
    const uint32_t count = live_gateways ? live_gateways() : 1;
    return count == 0 ? 1 : count;
  }
};

}  // namespace posthatch::gateway
