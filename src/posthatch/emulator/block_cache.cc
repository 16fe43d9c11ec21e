#include "posthatch/emulator/block_cache.h"

namespace posthatch::emulator {

std::vector<BlockMaker> BlockCache::Lookup(const std::vector<index::BlockHash>& chain,
                                           size_t first) {
  std::vector<std::list<Block>::iterator> found;
  for (size_t i = first; i < chain.size(); ++i) {
    const auto entry = blocks_.find(chain[i]);
    if (entry == blocks_.end()) break;
    found.push_back(entry->second);
  }
  std::vector<BlockMaker> makers;
  makers.reserve(found.size());
  for (const auto& block : found) makers.push_back(block->maker);
  // No range-based loop: clang-tidy 14 can't compile std::ranges of this libstdc++.
  // NOLINTNEXTLINE(modernize-loop-convert)
  for (auto block = found.rbegin(); block != found.rend(); ++block) {
    by_use_.splice(by_use_.begin(), by_use_, *block);
  }
  return makers;
}

std::vector<index::BlockHash> BlockCache::Insert(index::BlockHash hash, const BlockMaker& maker) {
  std::vector<index::BlockHash> removed;
  if (capacity_ == 0) return removed;
  const auto entry = blocks_.find(hash);
  if (entry != blocks_.end()) {
    by_use_.splice(by_use_.begin(), by_use_, entry->second);
    return removed;
  }
  while (blocks_.size() >= capacity_) {
    removed.push_back(by_use_.back().hash);
    blocks_.erase(by_use_.back().hash);
    by_use_.pop_back();
  }
  by_use_.push_front({hash, maker});
  blocks_[hash] = by_use_.begin();
  return removed;
}

void BlockCache::Clear() {
  by_use_.clear();
  blocks_.clear();
}

}  // namespace posthatch::emulator
