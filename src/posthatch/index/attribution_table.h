#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/types/span.h"
#include "posthatch/index/block_hash.h"

namespace posthatch::index {

// Maps blocks, attempts and cache salts to the seed under which blocks were made. The seed is known
// from the cache salt where events carry it, otherwise from the dispatches of this gateway and of
// others (DispatchReport), since workers' events name neither model revision nor tenant. Bounded:
// holds the newest `max_blocks` blocks and as many attempts. Owned by IndexNode; event loop thread
// only.
class AttributionTable {
 public:
  explicit AttributionTable(size_t max_blocks) : max_blocks_(max_blocks) {}

  void RecordBlocks(const BlockSeed& seed, absl::Span<const BlockHash> blocks);
  // Registers a seed in use: events that carry its cache salt need no dispatch to be attributed.
  void RecordSeed(const BlockSeed& seed) { Intern(seed); }
  void RecordAttempt(const std::string& attempt, const BlockSeed& seed);

  // Return null if unknown. The result is valid until the next change of the table.
  const BlockSeed* FindBlock(BlockHash block) const;
  const BlockSeed* FindAttempt(const std::string& attempt) const;
  const BlockSeed* FindSalt(const std::string& salt) const;

  size_t block_count() const { return blocks_.size(); }

 private:
  using SeedId = uint32_t;
  SeedId Intern(const BlockSeed& seed);

  const size_t max_blocks_;
  // Holds one seed for each model revision and isolation domain in use, so only a few.
  std::vector<BlockSeed> seeds_;
  absl::flat_hash_map<std::string, SeedId> seed_ids_;  // keyed by cache salt
  absl::flat_hash_map<BlockHash, SeedId> blocks_;
  std::deque<BlockHash> blocks_by_age_;
  absl::flat_hash_map<std::string, SeedId> attempts_;
  std::deque<std::string> attempts_by_age_;
};

}  // namespace posthatch::index
