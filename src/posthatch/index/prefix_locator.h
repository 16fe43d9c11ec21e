#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "posthatch/index/block_hash.h"

namespace posthatch::index {

// A backend that has cached a prefix: the first `blocks` blocks of the requested chain.
struct PrefixHolder {
  std::string backend_id;
  uint64_t epoch = 0;
  uint32_t blocks = 0;
  // Revision under which the blocks were made; a worker that serves another can't use them.
  uint64_t model_revision = 0;
};

// The prefix cache index as routing uses it. Event loop thread only; never blocks.
class PrefixLocator {
 public:
  virtual ~PrefixLocator() = default;
  // Holders of a prefix of `chain` whose entries may be trusted now, longest first. Entries that
  // can't be trusted at the moment are left out, but not dropped.
  virtual std::vector<PrefixHolder> Locate(const BlockSeed& seed,
                                           const std::vector<BlockHash>& chain) = 0;
  // Records that a worker has responded, with its cache epoch, and so has cached `chain`.
  virtual void RecordDispatch(const BlockSeed& seed, const std::vector<BlockHash>& chain,
                              const std::string& worker_id, uint64_t worker_epoch) = 0;
};

}  // namespace posthatch::index
