#include "posthatch/index/replication/extent_codec.h"

#include <bit>
#include <cstring>

namespace posthatch::index {

static_assert(std::endian::native == std::endian::little);

std::string PackBlocks(absl::Span<const BlockHash> blocks) {
  std::string packed(blocks.size() * sizeof(BlockHash), '\0');
  if (!blocks.empty()) std::memcpy(packed.data(), blocks.data(), packed.size());
  return packed;
}

bool UnpackBlocks(const std::string& packed, std::vector<BlockHash>* blocks) {
  if (packed.size() % sizeof(BlockHash) != 0) return false;
  blocks->resize(packed.size() / sizeof(BlockHash));
  if (!packed.empty()) std::memcpy(blocks->data(), packed.data(), packed.size());
  return true;
}

Extent MakeExtent(const std::string& holder, const invalidation::ObjectVersion& version,
                  const BlockSeed& seed) {
  Extent extent;
  extent.set_holder(holder);
  extent.set_holder_epoch(version.epoch());
  extent.set_holder_sequence(version.sequence());
  extent.set_model(seed.model);
  extent.set_model_revision(seed.model_revision);
  extent.set_isolation_tenant(seed.isolation_tenant);
  extent.set_isolation_generation(seed.isolation_generation);
  return extent;
}

BlockSeed SeedOf(const Extent& extent) {
  return {extent.model(), extent.model_revision(), extent.isolation_tenant(),
          extent.isolation_generation()};
}

}  // namespace posthatch::index
