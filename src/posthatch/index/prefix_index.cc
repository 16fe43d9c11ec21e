#include "posthatch/index/prefix_index.h"

#include <algorithm>
#include <cstring>
#include <new>

namespace posthatch::index {
namespace {

// A segment is rebuilt when it is filled to kMaxFill, with room for kGrowth more. So the fill is
// between kMaxFill / kGrowth and kMaxFill: 16 to 20 bytes a block.
constexpr double kMaxFill = 0.82;
constexpr double kGrowth = 1.2;
// What stays after an eviction, as part of the slots.
constexpr double kFillAfterEviction = 0.74;
constexpr uint8_t kInsertedRecency = 1;
constexpr uint8_t kUsedRecency = 3;
// Look-ups ask memory for this many blocks ahead of the one they compare.
constexpr size_t kPrefetchDistance = 12;
// Dropped blocks are swept when they are more than this part of all.
constexpr uint64_t kSweepDivisor = 16;

}  // namespace

PrefixIndex::PrefixIndex(uint64_t budget_bytes)
    : budget_bytes_(budget_bytes), segments_(kSegments), generations_(1) {
  for (Segment& segment : segments_) Rebuild(&segment, 1, {});
}

PrefixIndex::~PrefixIndex() = default;

PrefixIndex::GenerationId PrefixIndex::OpenGeneration() {
  GenerationId id;
  if (free_generations_.empty()) {
    id = static_cast<GenerationId>(generations_.size());
    generations_.emplace_back();
  } else {
    id = free_generations_.back();
    free_generations_.pop_back();
  }
  generations_[id] = {0, true};
  return id;
}

void PrefixIndex::DropGeneration(GenerationId generation) {
  Generation& dropped = generations_[generation];
  if (!dropped.live) return;
  dropped.live = false;
  blocks_ -= dropped.blocks;
  dropped_blocks_ += dropped.blocks;
  if (dropped.blocks == 0) free_generations_.push_back(generation);
}

void PrefixIndex::Release(GenerationId generation) {
  Generation& owner = generations_[generation];
  --owner.blocks;
  if (owner.live) {
    --blocks_;
  } else {
    --dropped_blocks_;
    if (owner.blocks == 0) free_generations_.push_back(generation);
  }
}

void PrefixIndex::Insert(GenerationId generation, absl::Span<const BlockHash> blocks) {
  for (size_t i = 0; i < blocks.size(); ++i) {
    if (i + kPrefetchDistance < blocks.size()) {
      const BlockHash ahead = blocks[i + kPrefetchDistance];
      const Segment& segment = SegmentOf(ahead);
      __builtin_prefetch(&segment.buckets[HomeOf(segment, ahead)], 1);
    }
    InsertOne(generation, blocks[i]);
  }
}

void PrefixIndex::Fill(Segment* segment, Bucket* bucket, size_t slot, GenerationId generation,
                       BlockHash hash) {
  if (bucket->generations[slot] == kNoGeneration) {
    ++segment->used_slots;
  } else {
    Release(bucket->generations[slot]);
  }
  bucket->hashes[slot] = hash;
  bucket->generations[slot] = generation;
  SetRecency(bucket, slot, kInsertedRecency);
  ++generations_[generation].blocks;
  ++blocks_;
}

void PrefixIndex::InsertOne(GenerationId generation, BlockHash hash) {
  Segment& segment = SegmentOf(hash);
  const size_t slots = size_t{segment.bucket_count} * kSlotsPerBucket;
  if (segment.used_slots >= static_cast<size_t>(static_cast<double>(slots) * kMaxFill)) {
    MakeRoom(&segment);
  }
  Bucket* free_bucket = nullptr;
  size_t free_slot = 0;
  size_t holders = 0;
  size_t index = HomeOf(segment, hash);
  for (size_t step = 0; step < segment.bucket_count; ++step) {
    Bucket& bucket = segment.buckets[index];
    for (size_t slot = 0; slot < kSlotsPerBucket; ++slot) {
      if (IsFree(bucket, slot)) {
        if (free_bucket == nullptr) {
          free_bucket = &bucket;
          free_slot = slot;
        }
      } else if (bucket.hashes[slot] == hash) {
        if (bucket.generations[slot] == generation) return;
        if (++holders == kMaxHoldersPerBlock) {
          Fill(&segment, &bucket, slot, generation, hash);
          return;
        }
      }
    }
    if (bucket.overflow == 0) {
      if (free_bucket != nullptr) break;
      bucket.overflow = 1;
    }
    index = index + 1 == segment.bucket_count ? 0 : index + 1;
  }
  if (free_bucket != nullptr) Fill(&segment, free_bucket, free_slot, generation, hash);
}

size_t PrefixIndex::Remove(BlockHash block, GenerationFilter matches) {
  Segment& segment = SegmentOf(block);
  size_t removed = 0;
  size_t index = HomeOf(segment, block);
  for (size_t step = 0; step < segment.bucket_count; ++step) {
    Bucket& bucket = segment.buckets[index];
    for (size_t slot = 0; slot < kSlotsPerBucket; ++slot) {
      if (bucket.hashes[slot] != block || IsFree(bucket, slot)) continue;
      if (!matches(bucket.generations[slot])) continue;
      Release(bucket.generations[slot]);
      bucket.generations[slot] = kNoGeneration;
      --segment.used_slots;
      ++removed;
    }
    if (bucket.overflow == 0) break;
    index = index + 1 == segment.bucket_count ? 0 : index + 1;
  }
  return removed;
}

void PrefixIndex::AddHolders(BlockHash hash, GenerationFilter filter, Matches* matches) {
  Segment& segment = SegmentOf(hash);
  size_t index = HomeOf(segment, hash);
  for (size_t step = 0; step < segment.bucket_count; ++step) {
    Bucket& bucket = segment.buckets[index];
    for (size_t slot = 0; slot < kSlotsPerBucket; ++slot) {
      if (bucket.hashes[slot] != hash || IsFree(bucket, slot)) continue;
      if (!filter(bucket.generations[slot])) continue;
      SetRecency(&bucket, slot, kUsedRecency);
      matches->push_back({bucket.generations[slot], 1});
    }
    if (bucket.overflow == 0) break;
    index = index + 1 == segment.bucket_count ? 0 : index + 1;
  }
}

PrefixIndex::Matches PrefixIndex::LongestPrefixes(absl::Span<const BlockHash> chain,
                                                  GenerationFilter filter) {
  Matches matches;
  if (chain.empty()) return matches;
  const auto prefetch = [this](BlockHash hash) {
    const Segment& segment = SegmentOf(hash);
    __builtin_prefetch(&segment.buckets[HomeOf(segment, hash)], 1);
  };
  for (size_t i = 0; i < std::min(kPrefetchDistance, chain.size()); ++i) prefetch(chain[i]);
  AddHolders(chain[0], filter, &matches);

  bool extended = !matches.empty();
  for (size_t i = 1; i < chain.size() && extended; ++i) {
    if (i + kPrefetchDistance - 1 < chain.size()) prefetch(chain[i + kPrefetchDistance - 1]);
    extended = false;
    const BlockHash hash = chain[i];
    Segment& segment = SegmentOf(hash);
    size_t index = HomeOf(segment, hash);
    for (size_t step = 0; step < segment.bucket_count; ++step) {
      Bucket& bucket = segment.buckets[index];
      for (size_t slot = 0; slot < kSlotsPerBucket; ++slot) {
        if (bucket.hashes[slot] != hash || IsFree(bucket, slot)) continue;
        for (Match& match : matches) {
          if (match.blocks != i || match.generation != bucket.generations[slot]) continue;
          match.blocks = static_cast<uint32_t>(i + 1);
          SetRecency(&bucket, slot, kUsedRecency);
          extended = true;
          break;
        }
      }
      if (bucket.overflow == 0) break;
      index = index + 1 == segment.bucket_count ? 0 : index + 1;
    }
  }
  std::stable_sort(matches.begin(), matches.end(), [](const Match& left, const Match& right) {
    return left.blocks > right.blocks;
  });
  return matches;
}

std::vector<PrefixIndex::Slot> PrefixIndex::TakeSlots(Segment* segment) {
  std::vector<Slot> slots;
  slots.reserve(segment->used_slots);
  for (size_t i = 0; i < segment->bucket_count; ++i) {
    Bucket& bucket = segment->buckets[i];
    for (size_t slot = 0; slot < kSlotsPerBucket; ++slot) {
      const GenerationId generation = bucket.generations[slot];
      if (generation == kNoGeneration) continue;
      if (generations_[generation].live) {
        slots.push_back({bucket.hashes[slot], generation, Recency(bucket, slot)});
      } else {
        Release(generation);
      }
    }
  }
  return slots;
}

void PrefixIndex::MakeRoom(Segment* segment) {
  std::vector<Slot> slots = TakeSlots(segment);
  const double capacity = static_cast<double>(segment->bucket_count) * kSlotsPerBucket;
  uint32_t bucket_count = segment->bucket_count;
  if (static_cast<double>(slots.size()) > capacity * kMaxFill / kGrowth) {
    const auto grown = std::max(bucket_count + 1,
                                static_cast<uint32_t>(static_cast<double>(bucket_count) * kGrowth));
    if (bytes_ + (grown - bucket_count) * sizeof(Bucket) <= budget_bytes_) {
      bucket_count = grown;
    } else {
      EvictDownTo(&slots, static_cast<size_t>(capacity * kFillAfterEviction));
    }
  }
  Rebuild(segment, bucket_count, std::move(slots));
}

void PrefixIndex::EvictDownTo(std::vector<Slot>* slots, size_t limit) {
  // The clock algorithm, one round a recency step: what was used least goes first.
  for (int round = 0; round <= kUsedRecency && slots->size() > limit; ++round) {
    size_t kept = 0;
    for (size_t i = 0; i < slots->size(); ++i) {
      Slot& slot = (*slots)[i];
      const size_t left = slots->size() - i;
      if (slot.recency == 0 && kept + left > limit) {
        Release(slot.generation);
        ++evicted_blocks_;
        continue;
      }
      if (slot.recency > 0) --slot.recency;
      (*slots)[kept++] = slot;
    }
    slots->resize(kept);
  }
}

void PrefixIndex::Rebuild(Segment* segment, uint32_t bucket_count, std::vector<Slot> slots) {
  bytes_ -= segment->bucket_count * sizeof(Bucket);
  const size_t size = bucket_count * sizeof(Bucket);
  auto* buckets = static_cast<Bucket*>(std::aligned_alloc(alignof(Bucket), size));
  if (buckets == nullptr) throw std::bad_alloc();
  std::memset(buckets, 0, size);
  segment->buckets.reset(buckets);
  segment->bucket_count = bucket_count;
  segment->used_slots = static_cast<uint32_t>(slots.size());
  bytes_ += size;
  for (const Slot& slot : slots) PlaceUnique(segment, slot);
}

void PrefixIndex::PlaceUnique(Segment* segment, const Slot& slot) {
  size_t index = HomeOf(*segment, slot.hash);
  while (true) {
    Bucket& bucket = segment->buckets[index];
    for (size_t i = 0; i < kSlotsPerBucket; ++i) {
      if (bucket.generations[i] != kNoGeneration) continue;
      bucket.hashes[i] = slot.hash;
      bucket.generations[i] = slot.generation;
      SetRecency(&bucket, i, slot.recency);
      return;
    }
    bucket.overflow = 1;
    index = index + 1 == segment->bucket_count ? 0 : index + 1;
  }
}

void PrefixIndex::SweepStep() {
  if (dropped_blocks_ * kSweepDivisor <= blocks_ + dropped_blocks_) return;
  Segment& segment = segments_[sweep_position_];
  sweep_position_ = (sweep_position_ + 1) % kSegments;
  std::vector<Slot> slots = TakeSlots(&segment);
  const auto needed = static_cast<uint32_t>(static_cast<double>(slots.size()) * kGrowth /
                                            (kSlotsPerBucket * kMaxFill));
  const uint32_t bucket_count = std::clamp(needed, uint32_t{1}, segment.bucket_count);
  Rebuild(&segment, bucket_count, std::move(slots));
}

PrefixIndex::Stats PrefixIndex::stats() const {
  return {blocks_, dropped_blocks_, evicted_blocks_, bytes_};
}

}  // namespace posthatch::index
