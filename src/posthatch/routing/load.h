#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

#include "absl/container/flat_hash_map.h"

namespace posthatch::routing {

// What gateways have dispatched to one worker and is not ended.
struct Load {
  uint32_t in_flight = 0;       // requests
  uint64_t pending_tokens = 0;  // of their prompts, not prefilled yet

  void Add(const Load& other) {
    in_flight += other.in_flight;
    pending_tokens += other.pending_tokens;
  }
  // Stops at zero: `other` may be newer than the sum that it is taken from.
  void Subtract(const Load& other) {
    in_flight -= std::min(in_flight, other.in_flight);
    pending_tokens -= std::min(pending_tokens, other.pending_tokens);
  }

  friend bool operator==(const Load&, const Load&) = default;
};

using LoadMap = absl::flat_hash_map<std::string, Load>;  // by worker id

}  // namespace posthatch::routing
