#pragma once

#include <cstddef>
#include <string>

#include "posthatch/index/observation_reporter.h"
#include "posthatch/index/replication/index_update_fanout.h"
#include "posthatch/index/replication/index_update_publisher.h"
#include "posthatch/index/replication/index_update_receiver.h"
#include "posthatch/index/trusted_prefix_locator.h"
#include "posthatch/index/worker_event_reader.h"
#include "posthatch/invalidation/invalidation_subscriber.h"
#include "posthatch/invalidation/metrics_export.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::index {

// The sizes and counters of a gateway's index, as metrics and as the body of GET /admin/v1/index.
// Owned by IndexNode; event loop thread only.
class IndexStatistics {
 public:
  // Components whose counters are exported; all must outlive this object.
  struct Sources {
    const TrustedPrefixLocator* locator = nullptr;
    const invalidation::InvalidationSubscriber* subscriptions = nullptr;
    const IndexUpdateReceiver* receiver = nullptr;
    const IndexUpdatePublisher* publisher = nullptr;
    const IndexUpdateFanout* fanout = nullptr;
    const WorkerEventReader* reader = nullptr;
    const ObservationReporter* reporter = nullptr;
  };

  IndexStatistics(runtime::Runtime* runtime, const Sources& sources)
      : sources_(sources), metrics_(runtime) {}
  IndexStatistics(const IndexStatistics&) = delete;
  IndexStatistics& operator=(const IndexStatistics&) = delete;

  // Registers the metrics and refreshes them from now on. To be called once.
  void Export();
  // `relay_subscribers`: gateways registered with this one's invalidation relay.
  std::string ToJson(size_t relay_subscribers) const;

 private:
  const Sources sources_;
  invalidation::MetricsExport metrics_;
};

}  // namespace posthatch::index
