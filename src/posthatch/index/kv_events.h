#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "posthatch/index/block_hash.h"

namespace posthatch::index {

// An event of a worker's KV cache (docs/BACKENDS.md, GET /kv_events).
struct KvEvent {
  enum class Type {
    kStored,
    kRemoved,
    kLost,  // events up to `seq` were dropped; also any event of an unknown type
  };
  uint64_t seq = 0;
  Type type = Type::kLost;
  std::vector<BlockHash> blocks;
  uint32_t first = 0;   // position of the first block in its chain; only for kStored
  std::string attempt;  // nonce of the attempt that made the blocks; may be empty
  std::string salt;     // cache salt under which the blocks were made; may be empty
};

struct KvEventBatch {
  uint64_t epoch = 0;
  uint64_t next = 0;  // `after` of the next poll: every seq up to here is accounted for
  std::vector<KvEvent> events;
};

// Parses the response body of GET /kv_events. InvalidArgument if it is not in the documented
// format.
absl::StatusOr<KvEventBatch> ParseKvEvents(std::string_view body);

}  // namespace posthatch::index
