#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "posthatch/fleettest/checks/recorded_history.h"

namespace posthatch::fleettest {

// Percentiles of a set of durations, in milliseconds; `count` 0: nothing was measured.
struct Percentiles {
  uint64_t count = 0;
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
};

// Nearest-rank percentiles.
Percentiles PercentilesOf(std::vector<double> milliseconds);

struct RequestCounts {
  uint64_t sent = 0;       // calls of the load, including resends, without key probes
  uint64_t completed = 0;  // complete responses with status 2xx
  uint64_t refused = 0;    // responses with another status
  uint64_t unknown = 0;    // no response, or an incomplete one
  uint64_t left = 0;       // the caller disconnected by plan
  std::map<std::string, uint64_t> refused_by_code;
};

// Requests sent in the ten seconds after a fault began, and how many of them completed.
struct Goodput {
  std::string fault;
  std::string target;
  double at_s = 0;  // since the history's first call
  uint64_t sent = 0;
  uint64_t completed = 0;
};

// Latency and efficiency measures of a history.
struct Statistics {
  RequestCounts requests;
  Percentiles latency_ms;          // unstreamed responses, from sending to the end
  Percentiles first_token_ms;      // streams
  Percentiles token_gap_ms;        // between events of a stream
  Percentiles config_in_force_ms;  // from an acknowledgement to the last use of the former state
  Percentiles revision_in_force_ms;
  Percentiles revision_served_ms;  // from a revision's acknowledgement to each worker serving it
  // Shares of all prompt blocks that were found in the worker's own cache, and that were fetched
  // from a peer or the store.
  double prefix_hit_ratio = 0;
  double prefix_fetch_ratio = 0;
  double retry_ratio = 0;  // retries divided by first attempts
  std::vector<Goodput> goodput;
};

Statistics ComputeStatistics(const RecordedHistory& history);

}  // namespace posthatch::fleettest
