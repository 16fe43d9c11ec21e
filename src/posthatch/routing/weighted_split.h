#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "posthatch/control/control.pb.h"
#include "posthatch/runtime/random.h"

namespace posthatch::routing {

// Divides the requests of a route among its targets by their weights. Independent random draws
// would leave the shares off by several percent over a few hundred requests, and each gateway sees
// few. So each route follows a low-discrepancy sequence (the golden ratio's multiples, modulo 1)
// from a random start: one gateway's shares are off by a request or two, and those of many gateways
// by less. Owned by TrafficGateway; event loop thread only.
class WeightedSplit {
 public:
  explicit WeightedSplit(runtime::Random* random) : random_(random) {}

  // The target of the next request; null if all weights are 0.
  const control::RouteTarget* Next(const control::TrafficRoute& route);
  // Drops all positions, for a new configuration.
  void Clear() { positions_.clear(); }

 private:
  runtime::Random* const random_;
  absl::flat_hash_map<std::string, double> positions_;  // keyed by route name, in [0, 1)
};

}  // namespace posthatch::routing
