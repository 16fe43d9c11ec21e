#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "posthatch/index/prefix_index.h"
#include "posthatch/index/prefix_locator.h"
#include "posthatch/invalidation/object_trust.h"

namespace posthatch::index {

enum class HolderKind { kWorker, kStore };

// "worker/<id>" or "store/<id>": the object that a holder's entries rest on.
std::string HolderObject(HolderKind kind, const std::string& holder);

struct LocatorStats {
  uint64_t lookups = 0;
  uint64_t lookups_matched = 0;  // at least one trusted holder
  uint64_t dispatches_recorded = 0;
  uint64_t dispatches_not_recorded = 0;  // versions unknown, or not those of the dispatch
  uint64_t untrusted_holders = 0;        // left out of an answer because their trust had run out
};

// The prefix cache index as routing sees it: PrefixIndex, whose generations each rest on the
// versions of three objects (holder, model, isolation domain; DESIGN.md "Index trust"). A
// generation is believed only while `trust` says that all three are fresh at these versions, by the
// clock at the moment of the look-up. Owned by IndexNode. Event loop thread only.
class TrustedPrefixLocator : public PrefixLocator {
 public:
  // Tells that a holder answered with another epoch than the newest known one.
  using EpochObserver =
      std::function<void(HolderKind kind, const std::string& holder, uint64_t epoch)>;

  struct Options {
    uint64_t budget_bytes = 64ull * 1024 * 1024;
    // Whether this gateway may decide at all (its session lease); asked at each look-up.
    std::function<bool()> has_session_lease;
    // Revisions of a model whose entries are kept, the newest one included. More than one only
    // where each dispatch names its worker's revision and a salt of that revision, so that a worker
    // can't use what was made under another one: then entries of workers that a roll-out has not
    // reached yet go on being of use.
    size_t retained_revisions = 1;
  };

  TrustedPrefixLocator(Options options, const invalidation::ObjectTrust* trust);
  TrustedPrefixLocator(const TrustedPrefixLocator&) = delete;
  TrustedPrefixLocator& operator=(const TrustedPrefixLocator&) = delete;

  std::vector<PrefixHolder> Locate(const BlockSeed& seed,
                                   const std::vector<BlockHash>& chain) override;
  void RecordDispatch(const BlockSeed& seed, const std::vector<BlockHash>& chain,
                      const std::string& worker_id, uint64_t worker_epoch) override;

  void SetEpochObserver(EpochObserver observer) { epoch_observer_ = std::move(observer); }

  // Adds blocks that `holder` kept at `version` of its object. False, and nothing is added, unless
  // that is the newest version and `seed` names a revision that is kept and the newest isolation
  // generation.
  bool Add(HolderKind kind, const std::string& holder, const invalidation::ObjectVersion& version,
           const BlockSeed& seed, absl::Span<const BlockHash> blocks);
  // `holder` keeps these blocks no more, whatever their seed.
  void Remove(HolderKind kind, const std::string& holder, absl::Span<const BlockHash> blocks);
  // Drops every entry of the holder: something about it was missed.
  void DropHolder(HolderKind kind, const std::string& holder);
  // The newest version of an object has risen: drops what rests on an older one.
  void OnObjectChanged(const std::string& object);
  // Frees the memory of dropped entries, a little at a time.
  void SweepStep() { index_.SweepStep(); }

  PrefixIndex::Stats index_stats() const { return index_.stats(); }
  const LocatorStats& stats() const { return stats_; }
  size_t generation_count() const { return generations_.size(); }

 private:
  using GenerationId = PrefixIndex::GenerationId;

  struct Generation {
    HolderKind kind = HolderKind::kWorker;
    std::string holder;
    std::string holder_object;
    invalidation::ObjectVersion version;
    BlockSeed seed;
  };
  // Holder object, its version, model, revision, isolation tenant and generation.
  using Key =
      std::tuple<std::string, uint64_t, uint64_t, std::string, uint64_t, std::string, uint64_t>;

  bool HasSessionLease() const {
    return !options_.has_session_lease || options_.has_session_lease();
  }
  // The seed's isolation generation is the newest and its revision is one that is kept, and both
  // are known to be so now.
  bool IsSeedFresh(const BlockSeed& seed) const;
  bool IsRevisionTrusted(const BlockSeed& seed) const;
  void RecordRevision(const std::string& model_object, uint64_t revision);
  uint64_t OldestRetainedRevision(const std::string& model_object) const;
  GenerationId OpenGeneration(HolderKind kind, const std::string& holder,
                              const invalidation::ObjectVersion& version, const BlockSeed& seed);
  void Drop(GenerationId id);
  static Key KeyOf(const Generation& generation);

  const Options options_;
  const invalidation::ObjectTrust* const trust_;
  EpochObserver epoch_observer_;
  PrefixIndex index_;
  absl::flat_hash_map<GenerationId, Generation> generations_;
  absl::flat_hash_map<Key, GenerationId> generation_by_key_;
  // Generations that rest on an object.
  absl::flat_hash_map<std::string, std::vector<GenerationId>> generations_by_object_;
  // By model object, the newest revisions that entries were made under or that were announced.
  absl::flat_hash_map<std::string, std::set<uint64_t>> revisions_;
  LocatorStats stats_;
};

}  // namespace posthatch::index
