#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "posthatch/index/block_hash.h"

namespace posthatch::emulator {

// Tenant and model revision that a block was computed for: recorded so that checks detect a reuse
// across tenant isolation or model revisions.
struct BlockMaker {
  std::string tenant;
  uint64_t model_revision = 0;
  bool operator==(const BlockMaker&) const = default;
};

// A cache of KV blocks keyed by chained hash, with LRU eviction. Only the hash decides a hit;
// tenants and revisions are merely recorded. Not thread-safe.
class BlockCache {
 public:
  explicit BlockCache(uint64_t capacity_blocks) : capacity_(capacity_blocks) {}

  // Returns the makers of the cached blocks of `chain` from index `first` up to the first miss.
  // Marks these blocks as used, the first one last, so that a chain's tail is evicted first.
  std::vector<BlockMaker> Lookup(const std::vector<index::BlockHash>& chain, size_t first = 0);
  // Caches a block; one already cached keeps its maker. Returns the hashes that were evicted.
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
