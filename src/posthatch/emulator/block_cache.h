#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "posthatch/index/block_hash.h"

namespace posthatch::emulator {

// Who made a block, and under which weights: recorded so that checks can tell a reuse that crosses
// a tenant isolation or a model revision.
struct BlockMaker {
  std::string tenant;
  uint64_t model_revision = 0;
  bool operator==(const BlockMaker&) const = default;
};

// Kept KV blocks by their chained hash, least recently used out first. It knows nothing of tenants
// and revisions beyond what it is told: only hashes decide a hit.
class BlockCache {
 public:
  explicit BlockCache(uint64_t capacity_blocks) : capacity_(capacity_blocks) {}

  // Makers of the leading blocks of `chain` that are kept, from `first` on; those blocks count as
  // used, earlier ones of the chain as used later, so that a chain loses its tail first.
  std::vector<BlockMaker> Lookup(const std::vector<index::BlockHash>& chain, size_t first = 0);
  // Keeps a block; one already kept keeps its maker. Returns the hashes that had to go.
  std::vector<index::BlockHash> Insert(index::BlockHash hash, const BlockMaker& maker);
  bool Contains(index::BlockHash hash) const { return blocks_.contains(hash); }
  void Clear();
  uint64_t size() const { return blocks_.size(); }

 private:
  struct Block {
    index::BlockHash hash;
    BlockMaker maker;
  };
  const uint64_t capacity_;
  std::list<Block> by_use_;  // most recently used first
  absl::flat_hash_map<index::BlockHash, std::list<Block>::iterator> blocks_;
};

}  // namespace posthatch::emulator
