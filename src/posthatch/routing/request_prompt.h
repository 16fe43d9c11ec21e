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

// The prompt of one request: its shape, which placement works with, and the names of its blocks in
// the prefix cache index. Empty for calls that are no prompts. Owned by TrafficRequest; event loop
// thread only.
class RequestPrompt {
 public:
  // Both outlive it.
  RequestPrompt(const TrafficContext* context, const AdmittedCall* admitted);

  const PromptShape& shape() const { return shape_; }

  // Holders of a prefix of it, as far as the index trusts them now. During a rollout workers of the
  // older revision keep what was made under it: each holder names the revision under which its
  // blocks may be used.
  std::vector<index::PrefixHolder> LocatePrefix();
  // `worker_id`, which serves `revision`, has it cached now. Ignored if the worker's epoch is not
  // known.
  void RecordCached(const std::string& worker_id, uint64_t revision);
  // The salt that a worker of `revision` must name the blocks with.
  std::string CacheSalt(uint64_t revision) const;

 private:
  // The blocks as they are named under one model revision.
  struct HashedChain {
    index::BlockSeed seed;
    std::vector<index::BlockHash> blocks;
  };

  void ComputeShape();
  std::vector<uint64_t> RevisionsToLocate() const;

  const TrafficContext* const context_;
  const AdmittedCall* const admitted_;
  PromptShape shape_;
  std::vector<HashedChain> chains_;  // one for each revision, of the last LocatePrefix
};

}  // namespace posthatch::routing
