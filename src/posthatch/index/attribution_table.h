#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/types/span.h"
#include "posthatch/index/block_hash.h"

namespace posthatch::index {

// Under which seed a block was made. Known from the cache salt where events carry it, and else from
// the dispatches of this gateway and of others (DispatchReport), since workers' events name neither
// model revision nor tenant. Bounded: holds the newest `max_blocks` blocks and as many attempts.
// Owned by IndexNode; event loop thread only.
class AttributionTable {
 public:
  explicit AttributionTable(size_t max_blocks) : max_blocks_(max_blocks) {}

  void RecordBlocks(const BlockSeed& seed, absl::Span<const BlockHash> blocks);
  // A seed in use: events that carry its cache salt are attributed by that alone.
  void RecordSeed(const BlockSeed& seed) { Intern(seed); }
  void RecordAttempt(const std::string& attempt, const BlockSeed& seed);

  // Null if unknown. Valid until the next change.
  const BlockSeed* FindBlock(BlockHash block) const;
  const BlockSeed* FindAttempt(const std::string& attempt) const;
  const BlockSeed* FindSalt(const std::string& salt) const;

  size_t block_count() const { return blocks_.size(); }

 private:
  using SeedId = uint32_t;
  SeedId Intern(const BlockSeed& seed);

  const size_t max_blocks_;
  // Few: one for each model revision and isolation domain in use.
  std::vector<BlockSeed> seeds_;
  absl::flat_hash_map<std::string, SeedId> seed_ids_;  // by cache salt
  absl::flat_hash_map<BlockHash, SeedId> blocks_;
  std::deque<BlockHash> block_order_;
  absl::flat_hash_map<std::string, SeedId> attempts_;
  std::deque<std::string> attempt_order_;
};

}  // namespace posthatch::index
