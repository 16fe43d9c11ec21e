#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "posthatch/runtime/clock.h"

namespace posthatch::routing {

// Tunables of load reports (LoadReporter, LoadAggregator, LoadTopology).
struct LoadReporterOptions {
  std::string zone;  // of this gateway
  // From a change that other gateways must know for good placement until it is reported ...
  runtime::Duration urgent_period = std::chrono::milliseconds(10);
  // ... and from any other change.
  runtime::Duration relaxed_period = std::chrono::milliseconds(150);
  // A change of the pending tokens at one worker by so many since the last report is urgent.
  uint64_t urgent_token_change = 2500;
  // Between an aggregator's reports; longer where they would take more than
  // `aggregator_bytes_per_second` of its link.
  runtime::Duration aggregation_period = std::chrono::milliseconds(100);
  double aggregator_bytes_per_second = 250'000;
  // A zone's load at a worker is reported to other zones when it differs by so much from the last
  // report, or becomes zero; all of it at each refresh.
  uint64_t cross_zone_tokens = 2000;
  uint32_t cross_zone_in_flight = 3;
  // In a larger fleet gateways report to their own zone only, and the zones' aggregators to other
  // zones.
  size_t max_direct_gateways = 16;
  // In a larger zone gateways report to its aggregator only, which reports the sum to the others.
  size_t max_direct_gateways_per_zone = 64;
  // Datagrams that a gateway sends on average at the most: with more peers it reports less often.
  double datagrams_per_second = 1000;
  // Everything is reported again this often, which makes up for lost datagrams.
  runtime::Duration refresh = std::chrono::milliseconds(1000);
  // Prefill starts in one report; further ones are left out.
  size_t max_prefill_starts = 48;
  // A sender's loads are dropped when it has sent no report for so long.
  runtime::Duration entry_ttl = std::chrono::milliseconds(2500);
};

}  // namespace posthatch::routing
