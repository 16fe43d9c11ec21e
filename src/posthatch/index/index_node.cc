#include "posthatch/index/index_node.h"

#include <algorithm>
#include <set>
#include <utility>

namespace posthatch::index {
namespace {

// A sweep step compacts at most one segment; without dropped blocks it does nothing.
constexpr runtime::Duration kSweepInterval = std::chrono::milliseconds(20);
constexpr runtime::Duration kIdleSweepInterval = std::chrono::milliseconds(500);
// Interval between the debug log events with the counters.
constexpr runtime::Duration kStatsInterval = std::chrono::seconds(2);

invalidation::InvalidationSubscriberOptions SubscriptionOptionsOf(const IndexOptions& options) {
  invalidation::InvalidationSubscriberOptions subscriber_options;
  subscriber_options.subscription = options.subscription;
  subscriber_options.subscription.zone = options.zone;
  subscriber_options.subscription.relay = options.relay;
  subscriber_options.aggregate = options.aggregate_channel;
  return subscriber_options;
}

IndexUpdateFanoutOptions FanoutOptionsOf(const IndexOptions& options) {
  IndexUpdateFanoutOptions fanout = options.fanout;
  fanout.zone = options.zone;
  return fanout;
}

}  // namespace

IndexNode::IndexNode(runtime::Runtime* runtime, IndexOptions options, control::FleetView* fleet,
                     control::ControlClient* client, IndexUpdateFanout::Peers gateways,
                     const Endpoints& controllers)
    : runtime_(runtime),
      options_(std::move(options)),
      fleet_(fleet),
      gateways_(std::move(gateways)),
      listener_(this),
      subscriptions_(runtime, SubscriptionOptionsOf(options_), controllers),
      locator_({.budget_bytes = options_.index_budget_bytes,
                .has_session_lease = [fleet] { return fleet->LeaseValid(); },
                .retained_revisions = options_.retained_revisions},
               &subscriptions_),
      attributions_(options_.max_attributions),
      reporter_(runtime, client),
      fanout_(runtime, FanoutOptionsOf(options_), [this] { return OtherGateways(); }),
      publisher_(runtime, options_.updates, &fanout_),
      receiver_(runtime->clock, fleet, &subscriptions_, &locator_),
      recorder_(
          runtime, options_.dispatches,
          {fleet, &subscriptions_, &attributions_, &locator_, [this] { return OtherEndpoints(); }}),
      reader_(runtime, options_.events,
              {fleet, &subscriptions_, &reporter_, &publisher_, &attributions_, &locator_}),
      store_poller_(runtime, options_.store_poll_interval, fleet, &subscriptions_, &reporter_,
                    [this] { return IsFirstGateway(); }),
      sweep_timer_(runtime->timers),
      statistics_(runtime, {.locator = &locator_,
                            .subscriptions = &subscriptions_,
                            .receiver = &receiver_,
                            .publisher = &publisher_,
                            .fanout = &fanout_,
                            .reader = &reader_,
                            .reporter = &reporter_}) {
  subscriptions_.AddListener(&listener_);
  if (options_.relay) {
    relay_ = std::make_unique<invalidation::InvalidationRelay>(runtime, options_.relay_publisher,
                                                               &subscriptions_);
  }
  locator_.SetEpochObserver([this](HolderKind kind, const std::string& holder, uint64_t epoch) {
    reporter_.ReportEpoch(HolderObject(kind, holder), epoch, "answered");
  });
  runtime_->transport->SetReceiver(
      runtime::SERVICE_INDEX, [this](const runtime::Envelope& envelope) { Receive(envelope); });
}

IndexNode::~IndexNode() {
  runtime_->transport->SetReceiver(runtime::SERVICE_INDEX, [](const runtime::Envelope&) {});
  relay_.reset();
  subscriptions_.RemoveListener(&listener_);
}

void IndexNode::Start() {
  fleet_->AddListener(
      [this, alive = std::weak_ptr<bool>(alive_)](const control::FleetState& state) {
        if (alive.expired()) return;
        RecordKnownSeeds(state);
        reader_.FollowFleet(state);
      });
  RecordKnownSeeds(fleet_->state());
  reader_.FollowFleet(fleet_->state());
  subscriptions_.Start();
  store_poller_.Start();
  Sweep();
  statistics_.Export();
}

void IndexNode::RecordKnownSeeds(const control::FleetState& state) {
  if (!options_.dispatches.events_carry_salts) return;
  std::set<std::pair<std::string, uint64_t>> served;
  for (const control::ModelRevision& revision : state.revisions()) {
    served.emplace(revision.model(), revision.revision());
  }
  if (options_.retained_revisions > 1) {
    for (const control::Backend& backend : state.inventory().backends()) {
      if (backend.model_revision() == 0) continue;
      served.emplace(backend.model(), backend.model_revision());
    }
  }
  // Most pushes of the control state during a rollout leave these seeds unchanged.
  if (served == recorded_revisions_ && state.isolation_index() == recorded_isolation_) return;
  recorded_revisions_ = served;
  recorded_isolation_ = state.isolation_index();
  for (const auto& [model, revision] : served) {
    for (const control::TenantIsolation& domain : state.isolation()) {
      attributions_.RecordSeed({model, revision,
                                domain.isolated() ? domain.tenant() : std::string(),
                                domain.generation()});
    }
  }
}

void IndexNode::Sweep() {
  locator_.SweepStep();
  const bool idle = locator_.index_stats().dropped_blocks == 0;
  if (runtime_->clock->Now() >= next_stats_) {
    next_stats_ = runtime_->clock->Now() + kStatsInterval;
    runtime_->trace->Event(runtime::Severity::kDebug, "IndexStats", {{"stats", stats_json()}});
  }
  sweep_timer_.Start(idle ? kIdleSweepInterval : kSweepInterval, [this] { Sweep(); });
}

std::vector<IndexPeer> IndexNode::OtherGateways() const {
  std::vector<IndexPeer> gateways = gateways_();
  std::erase_if(gateways, [this](const IndexPeer& gateway) {
    return gateway.endpoint == runtime_->transport->endpoint();
  });
  return gateways;
}

std::vector<std::string> IndexNode::OtherEndpoints() const {
  std::vector<std::string> endpoints;
  for (IndexPeer& gateway : OtherGateways()) endpoints.push_back(std::move(gateway.endpoint));
  return endpoints;
}

bool IndexNode::IsFirstGateway() const {
  const std::vector<std::string> others = OtherEndpoints();
  return std::all_of(others.begin(), others.end(), [this](const std::string& endpoint) {
    return runtime_->transport->endpoint() < endpoint;
  });
}

void IndexNode::Receive(const runtime::Envelope& envelope) {
  IndexMessage message;
  if (!message.ParseFromString(envelope.payload())) return;
  recorder_.RecordGatewayEndpoint(envelope.from_node(), envelope.from_endpoint());
  if (message.has_update()) {
    receiver_.Receive(envelope.from_incarnation(), message.update());
  } else if (message.has_to_forward()) {
    receiver_.Receive(envelope.from_incarnation(), message.to_forward());
    fanout_.Forward(envelope.from_incarnation(), message.to_forward());
  } else if (message.has_relayed()) {
    for (const RelayedUpdate& relayed : message.relayed().updates()) {
      // The relay of this zone also forwards this gateway's own updates.
      if (relayed.from_incarnation() == runtime_->transport->incarnation()) continue;
      receiver_.Receive(relayed.from_incarnation(), relayed.update());
    }
  } else if (message.has_dispatches()) {
    recorder_.ApplyReport(message.dispatches());
  }
}

void IndexNode::ChannelListener::OnObjectsChanged(const std::string& /*channel*/,
                                                  const std::vector<std::string>& objects) {
  for (const std::string& object : objects) node_->locator_.OnObjectChanged(object);
  node_->receiver_.OnVersionsAdvanced();
}

void IndexNode::ChannelListener::OnSynchronized(const std::string& channel) {
  const invalidation::ChannelSubscription* subscription = node_->subscriptions_.Find(channel);
  for (const invalidation::RegisteredObject& object : subscription->Objects()) {
    node_->locator_.OnObjectChanged(object.object());
  }
  node_->receiver_.OnVersionsAdvanced();
}

std::string IndexNode::stats_json() const {
  return statistics_.ToJson(relay_ == nullptr ? 0 : relay_->registration_count());
}

}  // namespace posthatch::index
