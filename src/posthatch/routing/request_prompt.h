#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "posthatch/index/block_hash.h"
#include "posthatch/index/prefix_locator.h"
#include "posthatch/routing/admitted_call.h"
#include "posthatch/routing/placement.h"
#include "posthatch/routing/traffic_context.h"

namespace posthatch::routing {

// The prompt of one request: its shape, which placement works with, and the hashes of its blocks in
// the prefix cache index. Empty for calls that are not prompts. Owned by TrafficRequest; event loop
// thread only.
class RequestPrompt {
 public:
  // `context` and `admitted` must outlive this object.
  RequestPrompt(const TrafficContext* context, const AdmittedCall* admitted);

  const PromptShape& shape() const { return shape_; }

  // Cache holders of a prefix of the prompt that the index trusts now. During a rollout, workers of
  // the older revision keep the blocks cached under it: each holder names the revision under which
  // its blocks may be used.
  std::vector<index::PrefixHolder> LocatePrefix();
  // Records that worker `worker_id`, which serves `revision`, has cached the prompt. Ignored if the
  // worker's epoch is not known.
  void RecordCached(const std::string& worker_id, uint64_t revision);
  // The salt that a worker of `revision` must use in the hashes of the prompt's blocks.
  std::string CacheSalt(uint64_t revision) const;

 private:
  // The hashes of the prompt's blocks under one model revision.
  struct HashedChain {
    index::BlockSeed seed;
    std::vector<index::BlockHash> blocks;
  };

  void ComputeShape();
  std::vector<uint64_t> RevisionsToLocate() const;

  const TrafficContext* const context_;
  const AdmittedCall* const admitted_;
  PromptShape shape_;
  std::vector<HashedChain> chains_;  // from the last LocatePrefix, one per revision
};

}  // namespace posthatch::routing
