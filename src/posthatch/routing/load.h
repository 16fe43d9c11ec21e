#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

#include "absl/container/flat_hash_map.h"

namespace posthatch::routing {

// Requests that gateways have dispatched to one worker and that have not ended.
struct Load {
  uint32_t in_flight = 0;       // requests
  uint64_t pending_tokens = 0;  // prompt tokens of these requests, not prefilled yet

  void Add(const Load& other) {
    in_flight += other.in_flight;
    pending_tokens += other.pending_tokens;
  }
  // Saturates at zero: `other` may be newer than the sum that it is subtracted from.
  void Subtract(const Load& other) {
    in_flight -= std::min(in_flight, other.in_flight);
    pending_tokens -= std::min(pending_tokens, other.pending_tokens);
  }

  friend bool operator==(const Load&, const Load&) = default;
};

using LoadMap = absl::flat_hash_map<std::string, Load>;  // keyed by worker id

}  // namespace posthatch::routing
