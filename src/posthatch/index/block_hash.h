#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace posthatch::index {

// What a block's identity depends on besides its content. Blocks with different seeds have
// different hashes (short of a collision of XXH3-128), so a block made under other weights or for
// an isolated tenant can't be matched by accident.
struct BlockSeed {
  std::string model;
  uint64_t model_revision = 0;
  std::string isolation_tenant;  // empty: the domain that tenants share
  uint64_t isolation_generation = 0;
};

// Chained: a block's hash covers all blocks before it (XXH3-128 over parent hash and content).
using BlockHash = uint64_t;  // low half of the 128 bits; the index's key

// The cache salt sent to workers: hexadecimal XXH3-128 of the seed.
std::string CacheSalt(const BlockSeed& seed);

// Hashes of all full blocks of `prompt`, in order. A block is `block_bytes` bytes of the canonical
// prompt text; a partial block at the end has no hash. `cache_salt` as made by CacheSalt.
std::vector<BlockHash> HashBlocks(std::string_view cache_salt, std::string_view prompt,
                                  size_t block_bytes);

// Hashes of a prompt's segments. A segment id identifies the segment and all before it. The same
// salt and id give the same hash whether they come from a prompt or from a worker's event.
BlockHash HashSegment(std::string_view cache_salt, std::string_view segment_id);
std::vector<BlockHash> HashSegments(std::string_view cache_salt,
                                    const std::vector<std::string>& segment_ids);
// Hash over the first `count` segment ids, independent of cache salts.
uint64_t HashSegmentPrefix(const std::vector<std::string>& segment_ids, size_t count);

// Bytes of canonical prompt text that count as one token.
inline constexpr size_t kBytesPerToken = 4;

}  // namespace posthatch::index
