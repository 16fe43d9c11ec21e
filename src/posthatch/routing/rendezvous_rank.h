#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string_view>

namespace posthatch::routing {

// Rank of a node for a key by rendezvous hashing (highest random weight; here the lowest value
// wins): all gateways compute the same ranks without coordination, and a node that leaves moves
// only its own keys.
inline uint64_t RendezvousRank(uint64_t key, std::string_view node) {
  return XXH3_64bits_withSeed(node.data(), node.size(), key);
}

}  // namespace posthatch::routing
