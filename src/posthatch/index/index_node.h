#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "posthatch/control/client/control_client.h"
#include "posthatch/index/attribution_table.h"
#include "posthatch/index/dispatch_recorder.h"
#include "posthatch/index/index_statistics.h"
#include "posthatch/index/observation_reporter.h"
#include "posthatch/index/replication/index_update_fanout.h"
#include "posthatch/index/replication/index_update_publisher.h"
#include "posthatch/index/replication/index_update_receiver.h"
#include "posthatch/index/store_poller.h"
#include "posthatch/index/trusted_prefix_locator.h"
#include "posthatch/index/worker_event_reader.h"
#include "posthatch/invalidation/invalidation_relay.h"
#include "posthatch/invalidation/invalidation_subscriber.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::index {

struct IndexOptions {
  uint64_t index_budget_bytes = 64ull * 1024 * 1024;
  std::string zone;
  // Whether this gateway relays the invalidation channels to other gateways of the zone.
  bool relay = false;
  // Whether to register once, on the aggregate channel; for fleets in which relays or a single
  // server serve all gateways.
  bool aggregate_channel = false;
  invalidation::SubscriptionOptions subscription;
  invalidation::PublisherOptions relay_publisher;
  WorkerEventFeed::Options events;
  IndexUpdatePublisherOptions updates;
  IndexUpdateFanoutOptions fanout;  // `fanout.zone` is replaced by `zone`
  DispatchRecorder::Options dispatches;
  runtime::Duration store_poll_interval = std::chrono::seconds(1);
  // See TrustedPrefixLocator::Options.
  size_t retained_revisions = 1;
  // Bound on the blocks whose seed is recorded, to attribute workers' events.
  size_t max_attributions = size_t{256} * 1024;
};

// A gateway's prefix cache index and its sources: channel subscriptions, events of the workers
// whose leases it holds, other gateways' updates. Receives the process's SERVICE_CHANNELS and
// SERVICE_INDEX messages. Owned by the gateway's assembly; `fleet` and `client` must outlive it.
// Event loop thread only.
class IndexNode {
 public:
  // Internal endpoints ("ip:port") of the controllers; called often.
  using Endpoints = std::function<std::vector<std::string>()>;

  IndexNode(runtime::Runtime* runtime, IndexOptions options, control::FleetView* fleet,
            control::ControlClient* client, IndexUpdateFanout::Peers gateways,
            const Endpoints& controllers);
  ~IndexNode();
  IndexNode(const IndexNode&) = delete;
  IndexNode& operator=(const IndexNode&) = delete;

  void Start();

  // The locator for routing, valid as long as this node.
  PrefixLocator* locator() { return &recorder_; }
  const invalidation::ObjectTrust* trust() const { return &subscriptions_; }
  // Records the seed under which an attempt was dispatched, to attribute events that carry its
  // nonce.
  void RecordAttempt(const std::string& attempt, const BlockSeed& seed) {
    attributions_.RecordAttempt(attempt, seed);
  }
  // Sizes and counters as a JSON object, for GET /admin/v1/index.
  std::string stats_json() const;

 private:
  // Forwards version changes to the locator and the receiver.
  class ChannelListener : public invalidation::InvalidationSubscriber::Listener {
   public:
    explicit ChannelListener(IndexNode* node) : node_(node) {}
    void OnObjectsChanged(const std::string& channel,
                          const std::vector<std::string>& objects) override;
    void OnSynchronized(const std::string& channel) override;
    void OnRenewed(const std::string& /*channel*/) override {}
    void OnLost(const std::string& /*channel*/) override {}

   private:
    IndexNode* const node_;
  };

  void Receive(const runtime::Envelope& envelope);
  bool IsFirstGateway() const;
  std::vector<IndexPeer> OtherGateways() const;
  std::vector<std::string> OtherEndpoints() const;
  // Records the seeds in use, for events that carry their cache salts.
  void RecordKnownSeeds(const control::FleetState& state);
  void Sweep();

  runtime::Runtime* const runtime_;
  const IndexOptions options_;
  control::FleetView* const fleet_;
  const IndexUpdateFanout::Peers gateways_;
  ChannelListener listener_;
  invalidation::InvalidationSubscriber subscriptions_;
  std::unique_ptr<invalidation::InvalidationRelay> relay_;
  TrustedPrefixLocator locator_;
  AttributionTable attributions_;
  ObservationReporter reporter_;
  IndexUpdateFanout fanout_;
  IndexUpdatePublisher publisher_;
  IndexUpdateReceiver receiver_;
  DispatchRecorder recorder_;
  WorkerEventReader reader_;
  StorePoller store_poller_;
  runtime::Timer sweep_timer_;
  runtime::MonotonicTime next_stats_;
  IndexStatistics statistics_;
  // What RecordKnownSeeds recorded last: models with their revisions, and the isolation index of
  // the control state.
  std::set<std::pair<std::string, uint64_t>> recorded_revisions_;
  uint64_t recorded_isolation_ = 0;
  // Expires with this object; checked by the listener, which `fleet` retains.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace posthatch::index
