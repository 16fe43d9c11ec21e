#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "posthatch/runtime/clock.h"

namespace posthatch::routing {

// Parameters of load reports (LoadReporter, LoadAggregator, LoadTopology).
struct LoadReporterOptions {
  std::string zone;  // zone of this gateway
  // Delay before reporting a change that other gateways need for good placement.
  runtime::Duration urgent_period = std::chrono::milliseconds(10);
  // Delay before reporting any other change.
  runtime::Duration relaxed_period = std::chrono::milliseconds(150);
  // A change of the pending tokens at one worker by at least this many since the last report is
  // urgent.
  uint64_t urgent_token_change = 2500;
  // Time between an aggregator's reports; longer if they would exceed
  // `aggregator_bytes_per_second`.
  runtime::Duration aggregation_period = std::chrono::milliseconds(100);
  double aggregator_bytes_per_second = 250'000;
  // A zone's load at a worker is reported to other zones when it differs by at least this much from
  // the last report, or becomes zero; every load is reported at each refresh.
  uint64_t cross_zone_tokens = 2000;
  uint32_t cross_zone_in_flight = 3;
  // In a fleet of more gateways than this, gateways report only within their zone, and the zones'
  // aggregators report to other zones.
  size_t max_direct_gateways = 16;
  // In a zone of more gateways than this, gateways report only to the zone's aggregator, which
  // reports the sum to the others.
  size_t max_direct_gateways_per_zone = 64;
  // Limit on the average rate of datagrams that a gateway sends: with more peers it reports less
  // often.
  double datagrams_per_second = 1000;
  // Interval of reporting all loads again, which makes up for lost datagrams.
  runtime::Duration refresh = std::chrono::milliseconds(1000);
  // Maximum number of prefill starts in one report; further ones are dropped.
  size_t max_prefill_starts = 48;
  // A sender's loads expire when it has sent no report for this long.
  runtime::Duration entry_ttl = std::chrono::milliseconds(2500);
};

}  // namespace posthatch::routing
