#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "posthatch/control/client/control_client.h"
#include "posthatch/index/attribution_table.h"
#include "posthatch/index/observation_reporter.h"
#include "posthatch/index/replication/index_update_publisher.h"
#include "posthatch/index/trusted_prefix_locator.h"
#include "posthatch/index/worker_event_feed.h"
#include "posthatch/invalidation/object_trust.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::index {

struct WorkerEventReaderStats {
  uint64_t stored_blocks = 0;
  uint64_t removed_blocks = 0;
  uint64_t unattributed_blocks = 0;  // dropped because their seed was not known
  uint64_t losses = 0;
  uint64_t epochs = 0;
};

// Reads the events of every worker whose lease this gateway holds, reports epochs and losses to the
// controllers, and adds to the index and publishes what can be attributed to a seed. Events name
// neither model revision nor tenant: a block whose seed is not known is never added. Owned by
// IndexNode; event loop thread only.
class WorkerEventReader : private WorkerEventFeedOwner {
 public:
  struct Dependencies {
    control::FleetView* fleet = nullptr;
    const invalidation::ObjectTrust* trust = nullptr;
    ObservationReporter* reporter = nullptr;
    IndexUpdatePublisher* publisher = nullptr;
    AttributionTable* attributions = nullptr;
    TrustedPrefixLocator* locator = nullptr;
  };

  WorkerEventReader(runtime::Runtime* runtime, WorkerEventFeed::Options options,
                    Dependencies dependencies);
  WorkerEventReader(const WorkerEventReader&) = delete;
  WorkerEventReader& operator=(const WorkerEventReader&) = delete;

  // Starts and stops feeds according to the leases and endpoints of `state`.
  void FollowFleet(const control::FleetState& state);
  // Attributes the events that wait for their seed, and drops those that have waited too long.
  void RetryUnattributed();

  size_t feed_count() const { return feeds_.size(); }
  const WorkerEventReaderStats& stats() const { return stats_; }

 private:
  struct LeasedFeed {
    uint64_t fencing_token = 0;
    std::unique_ptr<WorkerEventFeed> feed;
  };
  struct Unattributed {
    std::string worker;
    invalidation::ObjectVersion version;
    KvEvent event;
    runtime::MonotonicTime expires_at;
  };

  void StartFeed(const std::string& worker, const std::string& endpoint, uint64_t fencing_token);
  // Whether this gateway still holds the lease that the worker's feed was started under.
  bool MayRead(const std::string& worker) const override;
  void OnEpoch(const std::string& worker, uint64_t epoch) override;
  void OnLost(const std::string& worker, uint64_t epoch, EventLoss loss) override;
  void OnEvent(const std::string& worker, const invalidation::ObjectVersion& version,
               KvEvent event) override;
  // Removes evicted blocks from the pending events of `worker`, so that they aren't added once
  // their seed is known.
  void DropUnattributed(const std::string& worker, const std::vector<BlockHash>& removed);
  // Sets `seed` to the seed of the event's attempt, else of its cache salt, else of its first block
  // whose seed is known, and returns the blocks of that seed; empty if no seed is known.
  std::vector<BlockHash> Attribute(const KvEvent& event, BlockSeed* seed) const;
  // Adds and publishes the blocks of a stored event. False if the event's seed is not known yet.
  bool ApplyStored(const std::string& worker, const invalidation::ObjectVersion& version,
                   const KvEvent& event);

  runtime::Runtime* const runtime_;
  const WorkerEventFeed::Options options_;
  const Dependencies dependencies_;
  absl::btree_map<std::string, LeasedFeed> feeds_;
  std::deque<Unattributed> unattributed_;
  runtime::Timer retry_timer_;
  WorkerEventReaderStats stats_;
};

}  // namespace posthatch::index
