#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "posthatch/index/prefix_index.h"
#include "posthatch/index/prefix_locator.h"
#include "posthatch/invalidation/object_trust.h"

namespace posthatch::index {

// A cache holder is a backend that has cached blocks; not to be confused with the holder of a
// lease.
enum class HolderKind { kWorker, kStore };

// "worker/<id>" or "store/<id>": the object on whose version a holder's entries depend.
std::string HolderObject(HolderKind kind, const std::string& holder);

struct LocatorStats {
  uint64_t lookups = 0;
  uint64_t lookups_matched = 0;  // look-ups that found at least one trusted holder
  uint64_t dispatches_recorded = 0;
  uint64_t dispatches_not_recorded = 0;  // versions unknown or not those of the dispatch
  uint64_t untrusted_holders = 0;        // left out because their trust had expired
};

// The prefix cache index with trust: a PrefixIndex whose generations each depend on the versions of
// three objects (holder, model, isolation domain; DESIGN.md "Index trust"). Invariant: an entry is
// returned only while `trust` says that all three are fresh at these versions, by the clock at the
// moment of the look-up; of a model, older retained revisions are trusted as well
// (Options::retained_revisions). Owned by IndexNode; event loop thread only.
class TrustedPrefixLocator : public PrefixLocator {
 public:
  // Called when a holder has responded with a newer epoch than the newest known one.
  using EpochObserver =
      std::function<void(HolderKind kind, const std::string& holder, uint64_t epoch)>;

  struct Options {
    uint64_t budget_bytes = 64ull * 1024 * 1024;
    // Whether this gateway's session lease is valid, without which it may not route requests;
    // checked at each look-up.
    std::function<bool()> has_session_lease;
    // Number of revisions of a model whose entries are retained, the newest included. More than one
    // only where each dispatch carries its worker's revision and a salt of that revision, so that a
    // worker can't use what was made under another one: then entries of workers that a rollout has
    // not reached yet stay useful.
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

  // Adds blocks that `holder` had cached at `version` of its object. Returns false, and adds
  // nothing, unless that is the newest version and `seed` names a retained revision and the newest
  // isolation generation.
  bool Add(HolderKind kind, const std::string& holder, const invalidation::ObjectVersion& version,
           const BlockSeed& seed, absl::Span<const BlockHash> blocks);
  // Removes blocks that `holder` has evicted, whatever their seed.
  void Remove(HolderKind kind, const std::string& holder, absl::Span<const BlockHash> blocks);
  // Drops all entries of the holder, after an event about it was missed.
  void DropHolder(HolderKind kind, const std::string& holder);
  // Drops the entries that depend on an older version of `object`, after a newer one was announced.
  void OnObjectChanged(const std::string& object);
  // Frees memory of dropped entries, a little at a time.
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
  // Identity of a generation, as a hash key.
  struct Key {
    std::string holder_object;
    uint64_t epoch = 0;  // with `sequence`, the version of the holder's object
    uint64_t sequence = 0;
    std::string model;
    uint64_t model_revision = 0;
    std::string isolation_tenant;
    uint64_t isolation_generation = 0;

    friend bool operator==(const Key&, const Key&) = default;
    template <typename Hash>
    friend Hash AbslHashValue(Hash hash, const Key& key) {
      return Hash::combine(std::move(hash), key.holder_object, key.epoch, key.sequence, key.model,
                           key.model_revision, key.isolation_tenant, key.isolation_generation);
    }
  };

  bool HasSessionLease() const {
    return !options_.has_session_lease || options_.has_session_lease();
  }
  // Whether the channels confirm now that the seed's isolation generation is the newest and its
  // revision a retained one.
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
  // Keyed by object: the generations that depend on it.
  absl::flat_hash_map<std::string, std::vector<GenerationId>> generations_by_object_;
  // Keyed by model object: the newest revisions that were announced or that entries were made
  // under.
  absl::flat_hash_map<std::string, std::set<uint64_t>> revisions_;
  LocatorStats stats_;
};

}  // namespace posthatch::index
