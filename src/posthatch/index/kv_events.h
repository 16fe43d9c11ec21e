#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "posthatch/index/block_hash.h"

namespace posthatch::index {

// One event of a worker (docs/BACKENDS.md, GET /kv_events).
struct KvEvent {
  enum class Type {
    kStored,
    kRemoved,
    kLost,  // events up to `seq` were dropped; also any event of an unknown type
  };
  uint64_t seq = 0;
  Type type = Type::kLost;
  std::vector<BlockHash> blocks;
  uint32_t first = 0;   // position of the first block in its chain; of stored ones
  std::string attempt;  // nonce of the attempt that made them; may be empty
  std::string salt;     // cache salt that they were made under; may be empty
};

struct KvEventBatch {
  uint64_t epoch = 0;
  uint64_t next = 0;  // `after` of the next poll: every seq up to here is accounted for
  std::vector<KvEvent> events;
};

// Parses the response body of GET /kv_events. InvalidArgument if it is not as documented.
absl::StatusOr<KvEventBatch> ParseKvEvents(std::string_view body);

}  // namespace posthatch::index
