#pragma once

#include <string>
#include <vector>

#include "absl/types/span.h"
#include "posthatch/index/block_hash.h"
#include "posthatch/index/index.pb.h"
#include "posthatch/invalidation/invalidation.pb.h"

// How blocks, seeds and versions stand in index messages (index.proto).
namespace posthatch::index {

// Eight bytes a block, little-endian: `block_hashes` of an extent, `removed` of an update.
std::string PackBlocks(absl::Span<const BlockHash> blocks);
// False if the length of `packed` is no multiple of a block's.
bool UnpackBlocks(const std::string& packed, std::vector<BlockHash>* blocks);

// An extent without blocks. `version` is that of the holder's object.
Extent MakeExtent(const std::string& holder, const invalidation::ObjectVersion& version,
                  const BlockSeed& seed);
BlockSeed SeedOf(const Extent& extent);

}  // namespace posthatch::index
