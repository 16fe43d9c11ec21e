#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/types/span.h"
#include "posthatch/index/block_hash.h"
#include "posthatch/index/index.pb.h"
#include "posthatch/index/replication/index_update_fanout.h"
#include "posthatch/invalidation/invalidation.pb.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::index {

struct IndexUpdatePublisherOptions {
  // Batching period with up to `gateways_at_period` gateways; longer in proportion in a larger
  // fleet, up to `max_period_factor` times.
  runtime::Duration batch_period = std::chrono::milliseconds(50);
  // Bound on the bytes published, counted once whatever the number of recipients.
  double bytes_per_second = 1024.0 * 1024;
  double burst_bytes = 4.0 * 1024 * 1024;
  size_t gateways_at_period = 8;
  size_t max_period_factor = 4;
};

struct IndexUpdatePublisherStats {
  uint64_t updates_sent = 0;
  uint64_t bytes_sent = 0;
  uint64_t stored_blocks_dropped = 0;  // over the rate limit: other gateways miss entries
  uint64_t updates_skipped = 0;        // removals over the rate limit: a gap at the receivers
};

// Publishes the cache events of the workers whose leases this gateway holds to the other gateways
// (IndexUpdate), in numbered batches for each worker. Over its rate limit stored blocks are left
// out; if removals have to be left out, a number is skipped, and the gap makes the receivers drop
// their entries of that worker. Owned by IndexNode; event loop thread only.
class IndexUpdatePublisher {
 public:
  IndexUpdatePublisher(runtime::Runtime* runtime, IndexUpdatePublisherOptions options,
                       IndexUpdateFanout* fanout);

  // Starts a new holder epoch or lease: update numbers start at 1, and pending changes are dropped.
  void Begin(const std::string& holder, uint64_t epoch, uint64_t fencing_token);
  void End(const std::string& holder) { holders_.erase(holder); }
  // Add blocks that the holder has stored or removed. Ignored without Begin.
  void AddStored(const std::string& holder, const Extent& extent);
  void AddRemoved(const std::string& holder, absl::Span<const BlockHash> blocks);

  const IndexUpdatePublisherStats& stats() const { return stats_; }

 private:
  struct Holder {
    uint64_t last_update = 0;
    IndexUpdate pending_update;  // without its removed blocks
    // Receivers apply stored blocks before removed ones, so a block that is stored again after its
    // removal leaves this set. Ordered, so that messages don't depend on hashing.
    absl::btree_set<BlockHash> removed;

    bool HasPendingChanges() const { return pending_update.stored_size() > 0 || !removed.empty(); }
  };

  void StartBatch();
  void Flush();
  void FlushHolder(Holder* holder);
  void Refill();

  runtime::Runtime* const runtime_;
  const IndexUpdatePublisherOptions options_;
  IndexUpdateFanout* const fanout_;
  absl::btree_map<std::string, Holder> holders_;
  double available_bytes_;
  runtime::MonotonicTime refilled_at_;
  runtime::Timer batch_timer_;
  IndexUpdatePublisherStats stats_;
};

}  // namespace posthatch::index
