#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "posthatch/emulator/block_cache.h"
#include "posthatch/emulator/worker_settings.h"
#include "posthatch/index/block_hash.h"

// Bodies of /kv/fetch and /kv/put, and the duration of transfers. `made_by` is a list of runs of
// blocks: {"tenant", "revision", "blocks"}.
namespace posthatch::emulator {

// Body of a fetch: {"salt", "blocks": [hex, ...]}.
std::string FetchBody(const std::string& salt, const std::vector<index::BlockHash>& blocks);
// Hashes of the body's "blocks"; a malformed one ends the list.
std::vector<index::BlockHash> ReadBlocks(const boost::json::object& body);

boost::json::array MakersToJson(const std::vector<BlockMaker>& makers);
std::vector<BlockMaker> MakersFromJson(const boost::json::array* runs);

// Body of the response to a fetch: {"holder", "epoch", "blocks", "made_by"}.
boost::json::object FetchResponse(const std::string& cache_holder, uint64_t epoch,
                                  const std::vector<BlockMaker>& makers);

// Duration of the transfer of `blocks` blocks over a link.
runtime::Duration TransferTime(uint64_t blocks, uint64_t bytes_per_block,
                               uint64_t link_bytes_per_second);

}  // namespace posthatch::emulator
