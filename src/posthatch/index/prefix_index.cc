#include "posthatch/index/prefix_index.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstring>
#include <new>

namespace posthatch::index {
namespace {

// A segment that is filled to kMaxFill is rebuilt kGrowth times as large, so the fill stays between
// kMaxFill / kGrowth and kMaxFill: 16 to 20 bytes per block.
constexpr double kMaxFill = 0.82;
constexpr double kGrowth = 1.2;
// Fraction of the slots that is filled after an eviction.
constexpr double kFillAfterEviction = 0.74;
constexpr uint8_t kInsertedRecency = 1;
constexpr uint8_t kUsedRecency = 3;
// Insertions prefetch the bucket of the block this many positions ahead of the current one.
constexpr size_t kPrefetchDistance = 12;
// Blocks that one search step probes; prefetched together, they cost one memory latency.
constexpr uint32_t kProbesPerStep = 4;
// Dropped blocks are swept when they exceed 1 / kSweepDivisor of all blocks.
constexpr uint64_t kSweepDivisor = 16;

}  // namespace

PrefixIndex::PrefixIndex(uint64_t budget_bytes)
    : budget_bytes_(budget_bytes), segments_(kSegments), generations_(1) {
  for (Segment& segment : segments_) Rebuild(&segment, 1, {});
}

PrefixIndex::~PrefixIndex() = default;

PrefixIndex::GenerationId PrefixIndex::OpenGeneration() {
  GenerationId id;  // NOLINT(cppcoreguidelines-init-variables): set in both branches below
  if (free_generations_.empty()) {
    id = static_cast<GenerationId>(generations_.size());
    generations_.emplace_back();
  } else {
    id = free_generations_.back();
    free_generations_.pop_back();
  }
  generations_[id] = {0, true, false};
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

void PrefixIndex::ReleaseSlot(GenerationId generation) {
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
    if (i + kPrefetchDistance < blocks.size()) Prefetch(blocks[i + kPrefetchDistance]);
    InsertOne(generation, blocks[i]);
  }
}

void PrefixIndex::FillSlot(Segment* segment, Bucket* bucket, size_t slot, GenerationId generation,
                           BlockHash hash) {
  if (bucket->generations[slot] == kNoGeneration) {
    ++segment->used_slots;
  } else {
    ReleaseSlot(bucket->generations[slot]);
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
    GrowOrEvict(&segment);
  }
  Bucket* free_bucket = nullptr;
  size_t free_slot = 0;
  size_t holders = 0;
  size_t index = HomeBucketIndex(segment, hash);
  for (size_t step = 0; step < segment.bucket_count; ++step) {
    Bucket& bucket = segment.buckets[index];
    for (size_t slot = 0; slot < kSlotsPerBucket; ++slot) {
      if (IsFree(bucket, slot)) {
        if (free_bucket == nullptr) {
          free_bucket = &bucket;
          free_slot = slot;
        }
      } else if (bucket.hashes[slot] == hash) {
        if (bucket.generations[slot] == generation) {
          SetRecency(&bucket, slot, kUsedRecency);
          return;
        }
        if (++holders == kMaxHoldersPerBlock) {
          FillSlot(&segment, &bucket, slot, generation, hash);
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
  if (free_bucket != nullptr) FillSlot(&segment, free_bucket, free_slot, generation, hash);
}

size_t PrefixIndex::Remove(BlockHash block, GenerationFilter matches) {
  Segment& segment = SegmentOf(block);
  size_t removed = 0;
  size_t index = HomeBucketIndex(segment, block);
  for (size_t step = 0; step < segment.bucket_count; ++step) {
    Bucket& bucket = segment.buckets[index];
    for (size_t slot = 0; slot < kSlotsPerBucket; ++slot) {
      if (bucket.hashes[slot] != block || IsFree(bucket, slot)) continue;
      if (!matches(bucket.generations[slot])) continue;
      generations_[bucket.generations[slot]].has_gaps = true;
      ReleaseSlot(bucket.generations[slot]);
      bucket.generations[slot] = kNoGeneration;
      --segment.used_slots;
      ++removed;
    }
    if (bucket.overflow == 0) break;
    index = index + 1 == segment.bucket_count ? 0 : index + 1;
  }
  return removed;
}

template <typename Visitor>
void PrefixIndex::VisitHolders(BlockHash hash, Visitor visit) {
  Segment& segment = SegmentOf(hash);
  size_t index = HomeBucketIndex(segment, hash);
  for (size_t step = 0; step < segment.bucket_count; ++step) {
    Bucket& bucket = segment.buckets[index];
    for (size_t slot = 0; slot < kSlotsPerBucket; ++slot) {
      if (bucket.hashes[slot] == hash && !IsFree(bucket, slot)) {
        visit(bucket.generations[slot], &bucket, slot);
      }
    }
    if (bucket.overflow == 0) return;
    index = index + 1 == segment.bucket_count ? 0 : index + 1;
  }
}

void PrefixIndex::Prefetch(BlockHash hash) const {
  const Segment& segment = segments_[hash >> (64 - kSegmentBits)];
  __builtin_prefetch(&segment.buckets[HomeBucketIndex(segment, hash)], 1);
}

PrefixIndex::Matches PrefixIndex::LongestPrefixes(absl::Span<const BlockHash> chain,
                                                  GenerationFilter filter) {
  Matches matches;
  if (chain.empty()) return matches;
  VisitHolders(chain[0], [&](GenerationId generation, Bucket* bucket, size_t slot) {
    if (!filter(generation)) return;
    SetRecency(bucket, slot, kUsedRecency);
    matches.push_back({generation, 1});
  });
  Ranges ranges(matches.size(), Range{0, static_cast<uint32_t>(chain.size())});
  for (size_t i = 0; i < matches.size(); ++i) {
    while (ranges[i].absent - ranges[i].present > 1) Narrow(chain, ranges[i], matches, &ranges);
    matches[i].blocks = ranges[i].present + 1;
    if (generations_[matches[i].generation].has_gaps) {
      matches[i].blocks = CountWithoutGap(chain, matches[i].generation, matches[i].blocks);
    }
  }
  std::stable_sort(matches.begin(), matches.end(), [](const Match& left, const Match& right) {
    return left.blocks > right.blocks;
  });
  return matches;
}

uint32_t PrefixIndex::CountWithoutGap(absl::Span<const BlockHash> chain, GenerationId generation,
                                      uint32_t blocks) {
  for (size_t i = 1; i < std::min<size_t>(kPrefetchDistance, blocks); ++i) Prefetch(chain[i]);
  for (uint32_t i = 1; i < blocks; ++i) {
    if (i + kPrefetchDistance <= blocks) Prefetch(chain[i + kPrefetchDistance - 1]);
    bool retained = false;
    VisitHolders(chain[i], [&](GenerationId holder, Bucket* bucket, size_t slot) {
      if (holder != generation) return;
      retained = true;
      SetRecency(bucket, slot, kUsedRecency);
    });
    if (!retained) return i;
  }
  return blocks;
}

void PrefixIndex::Narrow(absl::Span<const BlockHash> chain, Range range, const Matches& matches,
                         Ranges* ranges) {
  // Probes the last possible block and those a quarter of the range apart before it, prefetched
  // together.
  std::array<uint32_t, kProbesPerStep> probes;
  const uint32_t last = range.absent - 1;
  size_t count = 0;
  for (uint32_t quarter = kProbesPerStep; quarter > 0; --quarter) {
    const uint32_t probe =
        range.present +
        static_cast<uint32_t>((uint64_t{last - range.present} * quarter) / kProbesPerStep);
    if (probe == range.present || (count > 0 && probes[count - 1] == probe)) continue;
    probes[count++] = probe;
    Prefetch(chain[probe]);
  }
  for (size_t i = 0; i < count; ++i) {
    const uint32_t probe = probes[i];
    uint64_t matches_with_block = 0;
    VisitHolders(chain[probe], [&](GenerationId generation, Bucket* bucket, size_t slot) {
      for (size_t match = 0; match < matches.size(); ++match) {
        if (matches[match].generation != generation) continue;
        matches_with_block |= uint64_t{1} << match;
        SetRecency(bucket, slot, kUsedRecency);
      }
    });
    for (size_t match = 0; match < matches.size(); ++match) {
      Range& known = (*ranges)[match];
      if (probe <= known.present || probe >= known.absent) continue;
      ((matches_with_block >> match) & 1 ? known.present : known.absent) = probe;
    }
    // The remaining probes are at earlier blocks, which matter only if there are other matches.
    if (matches_with_block != 0 && matches.size() == 1) return;
  }
}

std::vector<PrefixIndex::Slot> PrefixIndex::ExtractLiveSlots(Segment* segment) {
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
        ReleaseSlot(generation);
      }
    }
  }
  return slots;
}

void PrefixIndex::GrowOrEvict(Segment* segment) {
  std::vector<Slot> slots = ExtractLiveSlots(segment);
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
  Rebuild(segment, bucket_count, slots);
}

void PrefixIndex::EvictDownTo(std::vector<Slot>* slots, size_t limit) {
  // The clock algorithm, one pass per recency level: least recently used slots are evicted first.
  for (int pass = 0; pass <= kUsedRecency && slots->size() > limit; ++pass) {
    size_t retained = 0;
    for (size_t i = 0; i < slots->size(); ++i) {
      Slot& slot = (*slots)[i];
      const size_t left = slots->size() - i;
      if (slot.recency == 0 && retained + left > limit) {
        ReleaseSlot(slot.generation);
        ++evicted_blocks_;
        continue;
      }
      if (slot.recency > 0) --slot.recency;
      (*slots)[retained++] = slot;
    }
    slots->resize(retained);
  }
}

void PrefixIndex::Rebuild(Segment* segment, uint32_t bucket_count, const std::vector<Slot>& slots) {
  bytes_ -= segment->bucket_count * sizeof(Bucket);
  const size_t size = bucket_count * sizeof(Bucket);
  auto* buckets = static_cast<Bucket*>(std::aligned_alloc(alignof(Bucket), size));
  if (buckets == nullptr) throw std::bad_alloc();
  std::memset(buckets, 0, size);
  segment->buckets.reset(buckets);
  segment->bucket_count = bucket_count;
  segment->used_slots = static_cast<uint32_t>(slots.size());
  bytes_ += size;
  for (const Slot& slot : slots) InsertSlot(segment, slot);
}

void PrefixIndex::InsertSlot(Segment* segment, const Slot& slot) {
  size_t index = HomeBucketIndex(*segment, slot.hash);
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
  std::vector<Slot> slots = ExtractLiveSlots(&segment);
  const auto needed = static_cast<uint32_t>(
      std::ceil(static_cast<double>(slots.size() + 1) * kGrowth / (kSlotsPerBucket * kMaxFill)));
  const uint32_t bucket_count = std::clamp(needed, uint32_t{1}, segment.bucket_count);
  Rebuild(&segment, bucket_count, slots);
}

PrefixIndex::Stats PrefixIndex::stats() const {
  return {blocks_, dropped_blocks_, evicted_blocks_, bytes_};
}

}  // namespace posthatch::index
