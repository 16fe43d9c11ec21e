#include "posthatch/index/attribution_table.h"

namespace posthatch::index {

AttributionTable::SeedId AttributionTable::Intern(const BlockSeed& seed) {
  const auto [entry, added] =
      seed_ids_.try_emplace(CacheSalt(seed), static_cast<SeedId>(seeds_.size()));
  if (added) seeds_.push_back(seed);
  return entry->second;
}

void AttributionTable::RecordBlocks(const BlockSeed& seed, absl::Span<const BlockHash> blocks) {
  const SeedId id = Intern(seed);
  for (const BlockHash block : blocks) {
    if (!blocks_.try_emplace(block, id).second) continue;
    blocks_by_age_.push_back(block);
  }
  while (blocks_by_age_.size() > max_blocks_) {
    blocks_.erase(blocks_by_age_.front());
    blocks_by_age_.pop_front();
  }
}

void AttributionTable::RecordAttempt(const std::string& attempt, const BlockSeed& seed) {
  if (!attempts_.try_emplace(attempt, Intern(seed)).second) return;
  attempts_by_age_.push_back(attempt);
  if (attempts_by_age_.size() > max_blocks_) {
    attempts_.erase(attempts_by_age_.front());
    attempts_by_age_.pop_front();
  }
}

const BlockSeed* AttributionTable::FindBlock(BlockHash block) const {
  const auto found = blocks_.find(block);
  return found == blocks_.end() ? nullptr : &seeds_[found->second];
}

const BlockSeed* AttributionTable::FindSalt(const std::string& salt) const {
  const auto found = seed_ids_.find(salt);
  return found == seed_ids_.end() ? nullptr : &seeds_[found->second];
}

const BlockSeed* AttributionTable::FindAttempt(const std::string& attempt) const {
  const auto found = attempts_.find(attempt);
  return found == attempts_.end() ? nullptr : &seeds_[found->second];
}

}  // namespace posthatch::index
