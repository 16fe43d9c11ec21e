#include "posthatch/index/block_hash.h"

#include <xxhash.h>

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

namespace posthatch::index {

std::string CacheSalt(const BlockSeed& seed) {
  // Lengths keep ("ab", "c") and ("a", "bc") apart.
  const std::string material = absl::StrCat(
      seed.model.size(), ":", seed.model, "/", seed.model_revision, "/",
      seed.isolation_tenant.size(), ":", seed.isolation_tenant, "/", seed.isolation_generation);
  const XXH128_hash_t hash = XXH3_128bits(material.data(), material.size());
  return absl::StrCat(absl::Hex(hash.high64, absl::kZeroPad16),
                      absl::Hex(hash.low64, absl::kZeroPad16));
}

std::vector<BlockHash> HashBlocks(std::string_view cache_salt, std::string_view prompt,
                                  size_t block_bytes) {
  std::vector<BlockHash> hashes;
  if (block_bytes == 0) return hashes;
  hashes.reserve(prompt.size() / block_bytes);
  XXH128_hash_t parent = XXH3_128bits(cache_salt.data(), cache_salt.size());
  for (size_t start = 0; start + block_bytes <= prompt.size(); start += block_bytes) {
    const uint64_t parent_seed = parent.low64 ^ (parent.high64 * UINT64_C(0x9E3779B97F4A7C15));
    parent = XXH3_128bits_withSeed(prompt.data() + start, block_bytes, parent_seed);
    hashes.push_back(parent.low64);
  }
  return hashes;
}

BlockHash HashSegment(std::string_view cache_salt, std::string_view segment_id) {
  const uint64_t seed = XXH3_64bits(cache_salt.data(), cache_salt.size());
  return XXH3_64bits_withSeed(segment_id.data(), segment_id.size(), seed);
}

std::vector<BlockHash> HashSegments(std::string_view cache_salt,
                                    const std::vector<std::string>& segment_ids) {
  std::vector<BlockHash> hashes;
  hashes.reserve(segment_ids.size());
  for (const std::string& id : segment_ids) hashes.push_back(HashSegment(cache_salt, id));
  return hashes;
}

uint64_t HashSegmentPrefix(const std::vector<std::string>& segment_ids, size_t count) {
  uint64_t hash = 0;
  for (size_t i = 0; i < count && i < segment_ids.size(); ++i) {
    hash = XXH3_64bits_withSeed(segment_ids[i].data(), segment_ids[i].size(), hash);
  }
  return hash;
}

}  // namespace posthatch::index
