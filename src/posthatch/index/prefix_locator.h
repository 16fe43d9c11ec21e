#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "posthatch/index/block_hash.h"

namespace posthatch::index {

// A holder of a prefix: the first `blocks` blocks of the chain asked for.
struct PrefixHolder {
  std::string backend_id;
  uint64_t epoch = 0;
  uint32_t blocks = 0;
  // Under which they were made; a worker that serves another one does not find them.
  uint64_t model_revision = 0;
};

// What routing asks of the prefix cache index. Event loop thread only; never blocks.
class PrefixLocator {
 public:
  virtual ~PrefixLocator() = default;
  // Holders of a prefix of `chain` whose entries may be trusted now, longest first. Entries that
  // can't be trusted at the moment are left out but kept.
  virtual std::vector<PrefixHolder> Locate(const BlockSeed& seed,
                                           const std::vector<BlockHash>& chain) = 0;
  // A worker has answered (with its cache epoch): it now keeps `chain`, made by this dispatch.
  virtual void RecordDispatch(const BlockSeed& seed, const std::vector<BlockHash>& chain,
                              const std::string& worker_id, uint64_t worker_epoch) = 0;
};

}  // namespace posthatch::index
