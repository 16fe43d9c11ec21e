#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace posthatch::gateway {

enum class RoutingMode {
  kPrefixAware,  // considers cached prefixes and load
  kRoundRobin,   // ignores cached prefixes and load; baseline of fleet tests
};

// The name of the mode in the settings.
inline std::string_view RoutingModeName(RoutingMode mode) {
  return mode == RoutingMode::kRoundRobin ? "round_robin" : "prefix_aware";
}

// The reverse of RoutingModeName; nullopt for any other text.
inline std::optional<RoutingMode> ParseRoutingMode(std::string_view name) {
  for (const RoutingMode mode : {RoutingMode::kPrefixAware, RoutingMode::kRoundRobin}) {
    if (RoutingModeName(mode) == name) return mode;
  }
  return std::nullopt;
}

// Options from the process settings. Limits that operators change at run time are in
// control.RoutingPolicy instead.
struct GatewayOptions {
  std::string gateway_id;          // node id, sent to back ends as X-Posthatch-Gateway
  std::string zone;                // back ends of this zone are preferred
  std::string inventory_endpoint;  // "ip:port" of the platform's inventory; empty: not read
  RoutingMode routing_mode = RoutingMode::kPrefixAware;
  // Maximum requests in flight at this gateway. The lowest priority may use 70% of it.
  size_t max_concurrent_requests = 4096;
  // Bytes of one stream buffered for a slow caller before reading from the worker stops.
  size_t max_stream_buffer_bytes = size_t{256} * 1024;
  // Maximum size of an unstreamed response from a back end.
  size_t max_response_bytes = size_t{8} * 1024 * 1024;
  // Maximum dispatches of one request, including the first.
  uint32_t max_attempts = 3;
  // Maximum inventory reads per second, summed over all gateways.
  double inventory_reads_per_second = 4.0;
  // Number of live gateways in the fleet, including this one; fleet-wide limits are divided by it.
  // Null: this gateway is the only one.
  std::function<uint32_t()> live_gateways;

  uint32_t LiveGateways() const {
    const uint32_t count = live_gateways ? live_gateways() : 1;
    return count == 0 ? 1 : count;
  }
};

}  // namespace posthatch::gateway
