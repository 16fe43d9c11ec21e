#pragma once

#include <string>
#include <vector>

#include "absl/types/span.h"
#include "posthatch/index/block_hash.h"
#include "posthatch/index/index.pb.h"
#include "posthatch/invalidation/invalidation.pb.h"

// Encoding of blocks, seeds and versions in index messages (index.proto).
namespace posthatch::index {

// Encodes eight bytes per block, little-endian, as `block_hashes` of an extent and `removed` of an
// update have them.
std::string PackBlocks(absl::Span<const BlockHash> blocks);
// False if the length of `packed` is not a multiple of eight bytes.
bool UnpackBlocks(const std::string& packed, std::vector<BlockHash>* blocks);

// Returns an extent without blocks. `version` is that of the holder's object.
Extent MakeExtent(const std::string& holder, const invalidation::ObjectVersion& version,
                  const BlockSeed& seed);
BlockSeed SeedOf(const Extent& extent);

}  // namespace posthatch::index
