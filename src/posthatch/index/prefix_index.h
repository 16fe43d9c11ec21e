#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <vector>

#include "absl/container/inlined_vector.h"
#include "absl/functional/function_ref.h"
#include "absl/types/span.h"
#include "posthatch/index/block_hash.h"

namespace posthatch::index {

// Records which blocks are cached by which holders: a hash table from block hashes to generations.
// A generation stands for one holder in one state (epoch, object versions, seed), which only the
// owner of the index (TrustedPrefixLocator) knows. Memory is the constraint: a block costs one
// 12-byte slot.
//
// Layout: kSegments tables, chosen by the hash's top bits, each of 64-byte buckets with five slots,
// linear probing from bucket to bucket. Segments grow one by one in small steps, so that the table
// as a whole stays well filled and no single insertion moves more than one segment. When the byte
// budget is used up, a segment evicts by the clock algorithm instead of growing.
//
// Dropping a generation is O(1): its slots count as free from then on and are reused or swept
// later. Owned by TrustedPrefixLocator; not thread-safe.
class PrefixIndex {
 public:
  using GenerationId = uint32_t;
  static constexpr GenerationId kNoGeneration = 0;
  // A holder beyond this number replaces another one of the block: routing needs a few, not all.
  static constexpr size_t kMaxHoldersPerBlock = 16;

  struct Match {
    GenerationId generation = kNoGeneration;
    uint32_t blocks = 0;  // number of leading blocks of the chain
  };
  using Matches = absl::InlinedVector<Match, 8>;
  using GenerationFilter = absl::FunctionRef<bool(GenerationId)>;

  struct Stats {
    uint64_t blocks = 0;          // blocks of live generations
    uint64_t dropped_blocks = 0;  // blocks of dropped generations, still in memory
    uint64_t evicted_blocks = 0;
    uint64_t bytes = 0;  // memory of all segments
  };

  // `budget_bytes` bounds the segments; at least kSegments buckets are always allocated.
  explicit PrefixIndex(uint64_t budget_bytes);
  ~PrefixIndex();
  PrefixIndex(const PrefixIndex&) = delete;
  PrefixIndex& operator=(const PrefixIndex&) = delete;

  GenerationId OpenGeneration();
  // Drops a generation: its blocks count as removed from now on.
  void DropGeneration(GenerationId generation);

  void Insert(GenerationId generation, absl::Span<const BlockHash> blocks);
  // Removes `block` from all generations for which `matches` is true; returns how many.
  size_t Remove(BlockHash block, GenerationFilter matches);

  // Returns, longest first, each generation that has the first block of `chain` and passes
  // `filter`, with the number of leading blocks that it has. Uses binary search; a generation that
  // has had blocks removed is compared block by block, since only then its chains can have gaps. (A
  // block evicted here for lack of memory is no gap: its holder still has it.)
  Matches LongestPrefixes(absl::Span<const BlockHash> chain, GenerationFilter filter);

  // Compacts one segment if dropped blocks take up much memory; to be called periodically.
  void SweepStep();

  Stats stats() const;
  // Blocks of one live generation.
  uint64_t CountBlocks(GenerationId generation) const { return generations_[generation].blocks; }

 private:
  static constexpr int kSegmentBits = 10;
  static constexpr size_t kSegments = size_t{1} << kSegmentBits;
  static constexpr size_t kSlotsPerBucket = 5;

  struct alignas(64) Bucket {
    BlockHash hashes[kSlotsPerBucket];
    GenerationId generations[kSlotsPerBucket];
    uint16_t recency;   // two bits per slot
    uint16_t overflow;  // 1 if the probe sequence of an entry goes on to the next bucket
  };
  static_assert(sizeof(Bucket) == 64);

  struct FreeDeleter {
    void operator()(Bucket* buckets) const { std::free(buckets); }
  };
  struct Segment {
    std::unique_ptr<Bucket[], FreeDeleter> buckets;
    uint32_t bucket_count = 0;
    uint32_t used_slots = 0;  // including those of dropped generations
  };
  struct Generation {
    uint64_t blocks = 0;
    bool live = false;
    bool has_gaps = false;  // blocks were removed one by one
  };
  struct Slot {
    BlockHash hash;
    GenerationId generation;
    uint8_t recency;
  };

  Segment& SegmentOf(BlockHash hash) { return segments_[hash >> (64 - kSegmentBits)]; }
  static size_t HomeBucketIndex(const Segment& segment, BlockHash hash) {
    return ((hash & 0xFFFFFFFF) * segment.bucket_count) >> 32;
  }
  static uint8_t Recency(const Bucket& bucket, size_t slot) {
    return (bucket.recency >> (2 * slot)) & 3;
  }
  static void SetRecency(Bucket* bucket, size_t slot, uint8_t recency) {
    const auto cleared = static_cast<unsigned>(bucket->recency) & ~(3u << (2 * slot));
    bucket->recency =
        static_cast<uint16_t>(cleared | (static_cast<unsigned>(recency) << (2 * slot)));
  }
  bool IsFree(const Bucket& bucket, size_t slot) const {
    const GenerationId generation = bucket.generations[slot];
    return generation == kNoGeneration || !generations_[generation].live;
  }

  void InsertOne(GenerationId generation, BlockHash hash);
  void FillSlot(Segment* segment, Bucket* bucket, size_t slot, GenerationId generation,
                BlockHash hash);
  // Decrements a generation's block count; the id of a dropped one is reused once it has no blocks.
  void ReleaseSlot(GenerationId generation);
  // Makes room in a segment that is filled to its limit: grows it, or evicts.
  void GrowOrEvict(Segment* segment);
  void Rebuild(Segment* segment, uint32_t bucket_count, const std::vector<Slot>& slots);
  // Returns the live slots of a segment; releases those of dropped generations.
  std::vector<Slot> ExtractLiveSlots(Segment* segment);
  void EvictDownTo(std::vector<Slot>* slots, size_t limit);
  // Inserts a slot whose block the segment doesn't have yet.
  static void InsertSlot(Segment* segment, const Slot& slot);
  // Calls `visit(generation, bucket, slot)` for each live slot of `hash`.
  template <typename Visitor>
  void VisitHolders(BlockHash hash, Visitor visit);
  void Prefetch(BlockHash hash) const;
  // Returns how many of the first `blocks` blocks `generation` has without a gap.
  uint32_t CountWithoutGap(absl::Span<const BlockHash> chain, GenerationId generation,
                           uint32_t blocks);
  // Search bounds of a match: its generation has block `present` and lacks block `absent`.
  struct Range {
    uint32_t present = 0;
    uint32_t absent = 0;
  };
  using Ranges = absl::InlinedVector<Range, 8>;
  // Probes a few blocks between the ends of `range`, for all matches at once.
  void Narrow(absl::Span<const BlockHash> chain, Range range, const Matches& matches,
              Ranges* ranges);

  const uint64_t budget_bytes_;
  std::vector<Segment> segments_;
  std::vector<Generation> generations_;
  std::vector<GenerationId> free_generations_;
  uint64_t bytes_ = 0;
  uint64_t blocks_ = 0;
  uint64_t dropped_blocks_ = 0;
  uint64_t evicted_blocks_ = 0;
  size_t sweep_position_ = 0;
};

}  // namespace posthatch::index
