#include "posthatch/index/trusted_prefix_locator.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "posthatch/invalidation/channel_names.h"

namespace posthatch::index {
namespace {

std::string ModelObject(const BlockSeed& seed) { return absl::StrCat("model/", seed.model); }

// The domain that tenants share is the object of the tenant with an empty name.
std::string TenantObject(const BlockSeed& seed) {
  return absl::StrCat("tenant/", seed.isolation_tenant);
}

bool SameSeed(const BlockSeed& left, const BlockSeed& right) {
  return left.model_revision == right.model_revision &&
         left.isolation_generation == right.isolation_generation && left.model == right.model &&
         left.isolation_tenant == right.isolation_tenant;
}

}  // namespace

std::string HolderObject(HolderKind kind, const std::string& holder) {
  return absl::StrCat(kind == HolderKind::kWorker ? "worker/" : "store/", holder);
}

TrustedPrefixLocator::TrustedPrefixLocator(Options options, const invalidation::ObjectTrust* trust)
    : options_(std::move(options)), trust_(trust), index_(options_.budget_bytes) {}

bool TrustedPrefixLocator::IsSeedFresh(const BlockSeed& seed) const {
  return IsRevisionTrusted(seed) &&
         trust_->IsFresh(TenantObject(seed),
                         invalidation::MakeVersion(seed.isolation_generation, 0));
}

bool TrustedPrefixLocator::IsRevisionTrusted(const BlockSeed& seed) const {
  const std::string object = ModelObject(seed);
  if (trust_->IsFresh(object, invalidation::MakeVersion(seed.model_revision, 0))) return true;
  if (options_.retained_revisions <= 1) return false;
  // An older revision depends on the same channel: a gateway whose channel has timed out trusts
  // neither.
  invalidation::ObjectVersion newest;
  if (!trust_->CurrentVersion(object, &newest) || seed.model_revision >= newest.epoch()) {
    return false;
  }
  return seed.model_revision >= OldestRetainedRevision(object);
}

void TrustedPrefixLocator::RecordRevision(const std::string& model_object, uint64_t revision) {
  std::set<uint64_t>& revisions = revisions_[model_object];
  revisions.insert(revision);
  while (revisions.size() > options_.retained_revisions) revisions.erase(revisions.begin());
}

uint64_t TrustedPrefixLocator::OldestRetainedRevision(const std::string& model_object) const {
  const auto found = revisions_.find(model_object);
  // While fewer revisions are known than may be retained, any older one may still be added.
  if (found == revisions_.end() || found->second.size() < options_.retained_revisions) return 0;
  return *found->second.begin();
}

std::vector<PrefixHolder> TrustedPrefixLocator::Locate(const BlockSeed& seed,
                                                       const std::vector<BlockHash>& chain) {
  ++stats_.lookups;
  std::vector<PrefixHolder> holders;
  if (chain.empty() || !HasSessionLease() || !IsSeedFresh(seed)) return holders;
  const auto trusted = [this, &seed](GenerationId id) {
    const Generation& generation = generations_.find(id)->second;
    if (!SameSeed(generation.seed, seed)) return false;
    if (trust_->IsFresh(generation.holder_object, generation.version)) return true;
    ++stats_.untrusted_holders;
    return false;
  };
  const PrefixIndex::Matches matches = index_.LongestPrefixes(chain, trusted);
  holders.reserve(matches.size());
  for (const PrefixIndex::Match& match : matches) {
    const Generation& generation = generations_.find(match.generation)->second;
    holders.push_back({generation.holder, generation.version.epoch(), match.blocks,
                       generation.seed.model_revision});
  }
  if (!holders.empty()) ++stats_.lookups_matched;
  return holders;
}

void TrustedPrefixLocator::RecordDispatch(const BlockSeed& seed,
                                          const std::vector<BlockHash>& chain,
                                          const std::string& worker_id, uint64_t worker_epoch) {
  const std::string object = HolderObject(HolderKind::kWorker, worker_id);
  invalidation::ObjectVersion version;
  const bool known = trust_->CurrentVersion(object, &version);
  if (!known || version.epoch() != worker_epoch) {
    ++stats_.dispatches_not_recorded;
    if (known && worker_epoch > version.epoch() && epoch_observer_) {
      epoch_observer_(HolderKind::kWorker, worker_id, worker_epoch);
    }
    return;
  }
  if (Add(HolderKind::kWorker, worker_id, version, seed, chain)) {
    ++stats_.dispatches_recorded;
  } else {
    ++stats_.dispatches_not_recorded;
  }
}

bool TrustedPrefixLocator::Add(HolderKind kind, const std::string& holder,
                               const invalidation::ObjectVersion& version, const BlockSeed& seed,
                               absl::Span<const BlockHash> blocks) {
  // Without an epoch the holder's state has never been observed.
  if (version.epoch() == 0 || !trust_->IsFresh(HolderObject(kind, holder), version) ||
      !IsSeedFresh(seed)) {
    return false;
  }
  index_.Insert(OpenGeneration(kind, holder, version, seed), blocks);
  return true;
}

TrustedPrefixLocator::Key TrustedPrefixLocator::KeyOf(const Generation& generation) {
  return {generation.holder_object,
          generation.version.epoch(),
          generation.version.sequence(),
          generation.seed.model,
          generation.seed.model_revision,
          generation.seed.isolation_tenant,
          generation.seed.isolation_generation};
}

TrustedPrefixLocator::GenerationId TrustedPrefixLocator::OpenGeneration(
    HolderKind kind, const std::string& holder, const invalidation::ObjectVersion& version,
    const BlockSeed& seed) {
  Generation generation{kind, holder, HolderObject(kind, holder), version, seed};
  const Key key = KeyOf(generation);
  const auto found = generation_by_key_.find(key);
  if (found != generation_by_key_.end()) return found->second;
  const GenerationId id = index_.OpenGeneration();
  generation_by_key_[key] = id;
  generations_by_object_[generation.holder_object].push_back(id);
  generations_by_object_[ModelObject(seed)].push_back(id);
  generations_by_object_[TenantObject(seed)].push_back(id);
  RecordRevision(ModelObject(seed), seed.model_revision);
  generations_[id] = std::move(generation);
  return id;
}

void TrustedPrefixLocator::Drop(GenerationId id) {
  const auto found = generations_.find(id);
  const Generation& generation = found->second;
  for (const std::string& object :
       {generation.holder_object, ModelObject(generation.seed), TenantObject(generation.seed)}) {
    const auto dependent = generations_by_object_.find(object);
    auto& ids = dependent->second;
    ids.erase(std::remove(ids.begin(), ids.end(), id), ids.end());
    if (ids.empty()) generations_by_object_.erase(dependent);
  }
  generation_by_key_.erase(KeyOf(generation));
  generations_.erase(found);
  index_.DropGeneration(id);
}

void TrustedPrefixLocator::Remove(HolderKind kind, const std::string& holder,
                                  absl::Span<const BlockHash> blocks) {
  const auto dependent = generations_by_object_.find(HolderObject(kind, holder));
  if (dependent == generations_by_object_.end()) return;
  const std::vector<GenerationId>& ids = dependent->second;
  const auto is_of_holder = [&ids](GenerationId id) {
    return std::find(ids.begin(), ids.end(), id) != ids.end();
  };
  for (const BlockHash block : blocks) index_.Remove(block, is_of_holder);
}

void TrustedPrefixLocator::DropHolder(HolderKind kind, const std::string& holder) {
  const auto dependent = generations_by_object_.find(HolderObject(kind, holder));
  if (dependent == generations_by_object_.end()) return;
  const std::vector<GenerationId> ids = dependent->second;
  for (const GenerationId id : ids) Drop(id);
}

void TrustedPrefixLocator::OnObjectChanged(const std::string& object) {
  invalidation::ObjectVersion newest;
  const auto dependent = generations_by_object_.find(object);
  if (dependent == generations_by_object_.end() || !trust_->CurrentVersion(object, &newest)) return;
  if (revisions_.contains(object)) RecordRevision(object, newest.epoch());
  const std::vector<GenerationId> ids = dependent->second;
  const uint64_t oldest_retained = OldestRetainedRevision(object);
  for (const GenerationId id : ids) {
    const Generation& generation = generations_.find(id)->second;
    invalidation::ObjectVersion entry_version = generation.version;
    if (object == ModelObject(generation.seed)) {
      if (generation.seed.model_revision < oldest_retained) Drop(id);
      continue;
    }
    if (object == TenantObject(generation.seed)) {
      entry_version = invalidation::MakeVersion(generation.seed.isolation_generation, 0);
    }
    if (invalidation::CompareVersions(entry_version, newest) < 0) Drop(id);
  }
}

}  // namespace posthatch::index
