#include "posthatch/server/platform_gateway_node.h"

#include <utility>

#include "posthatch/server/member_views.h"
#include "posthatch/server/node_options.h"

namespace posthatch::server {
namespace {

constexpr int kNotFound = 404;
constexpr runtime::Duration kMemberRefreshInterval = std::chrono::milliseconds(300);
// Long-poll time-out of a read of a worker's cache events.
constexpr runtime::Duration kEventLongPollTimeout = std::chrono::milliseconds(900);
// Fraction of a worker's cache events that may be missing before its index entries lose their
// trust; applies to events that get lost one by one.
constexpr double kToleratedMissingEvents = 0.2;
// Number of model revisions whose index entries are retained: the newest, the one that a rollout
// replaces, and the one before that, in case a further revision was set during the rollout.
constexpr size_t kRetainedRevisions = 3;

index::IndexOptions MakeIndexOptions(const GatewaySettings& settings,
                                     const PlatformFormats& formats) {
  index::IndexOptions options;
  options.index_budget_bytes = settings.index_budget_bytes;
  options.zone = settings.node.zone;
  options.retained_revisions = kRetainedRevisions;
  // The leader serves all gateways, so each has only one registration and heartbeat.
  options.aggregate_channel = true;
  options.events.format = formats.cache_events;
  options.events.wait = kEventLongPollTimeout;
  options.events.tolerated_missing_share = kToleratedMissingEvents;
  options.dispatches.workers_save_to_store = false;
  options.dispatches.events_carry_salts = true;
  return options;
}

}  // namespace

PlatformGatewayNode::PlatformGatewayNode(runtime::Runtime* runtime, GatewaySettings settings,
                                         const PlatformFormats& formats)
    : runtime_(runtime),
      settings_(std::move(settings)),
      membership_(runtime,
                  MakeSelfMember(settings_.node, membership::MemberRole::kGateway,
                                 runtime->transport->incarnation()),
                  settings_.node.seeds, membership::GossipOptions{}),
      session_(runtime, MakeSessionOptions(settings_), [this] { return ControllerEndpoints(); }),
      index_(
          runtime, MakeIndexOptions(settings_, formats), &session_, &session_,
          [this] { return OtherIndexPeers(); }, [this] { return ChannelServers(); }),
      traffic_(runtime, MakeTrafficOptions(formats), &session_, index_.locator(), index_.trust()),
      admin_api_(runtime, MakeAdminOptions(settings_.node, &membership_), &session_, &session_),
      leave_timer_(runtime->timers) {}

routing::TrafficGatewayOptions PlatformGatewayNode::MakeTrafficOptions(
    const PlatformFormats& formats) {
  routing::TrafficGatewayOptions options;
  options.gateway_id = settings_.node.node_id;
  options.zone = settings_.node.zone;
  options.inventory_endpoint = settings_.node.inventory_endpoint;
  options.inventory_format = formats.inventory;
  options.call_format = formats.calls;
  options.cache_event_format = formats.cache_events;
  options.retry_budget_ratio = settings_.retry_budget_ratio;
  options.retry_budget_slack = settings_.retry_budget_slack;
  options.inventory_reads_per_second = settings_.inventory_reads_per_second;
  options.revision_deadline = settings_.revision_deadline;
  options.drain_bound = settings_.drain_bound;
  options.switches = settings_.routing;
  options.gateways = [this] { return GatewayIds(); };
  options.peers = [this] { return OtherGateways(); };
  return options;
}

std::vector<std::string> PlatformGatewayNode::ControllerEndpoints() const {
  return LeaderCandidates(membership_, settings_.node.seeds);
}

// Returns only the leader, since no other controller serves the channels. Without a leader there is
// no lease and no index entry is used, so polling the other controllers would only add load.
std::vector<std::string> PlatformGatewayNode::ChannelServers() const {
  const std::string leader = session_.leader_endpoint();
  return leader.empty() ? std::vector<std::string>() : std::vector<std::string>{leader};
}

void PlatformGatewayNode::RefreshGateways() const {
  const runtime::MonotonicTime now = runtime_->clock->Now();
  if (!gateway_ids_.empty() && now - gateways_refreshed_at_ < kMemberRefreshInterval) return;
  gateway_ids_ = {settings_.node.node_id};
  other_gateways_.clear();
  index_peers_.clear();
  gateways_refreshed_at_ = now;
  for (const membership::Member& member : membership_.LiveMembers()) {
    if (member.role != membership::MemberRole::kGateway) continue;
    gateway_ids_.push_back(member.node_id);
    other_gateways_.push_back({member.node_id, member.zone, member.internal_endpoint});
    index_peers_.push_back({member.node_id, member.zone, member.internal_endpoint});
  }
}

std::vector<std::string> PlatformGatewayNode::GatewayIds() const {
  RefreshGateways();
  return gateway_ids_;
}

std::vector<routing::LoadPeer> PlatformGatewayNode::OtherGateways() const {
  RefreshGateways();
  return other_gateways_;
}

std::vector<index::IndexPeer> PlatformGatewayNode::OtherIndexPeers() const {
  RefreshGateways();
  return index_peers_;
}

absl::Status PlatformGatewayNode::Start() {
  membership_.Start();
  index_.Start();
  traffic_.Start();
  return absl::OkStatus();
}

void PlatformGatewayNode::Drain(std::function<void()> done) {
  traffic_.NotifyWhenIdle([this, done = std::move(done)] { LeaveFleet(done); });
}

void PlatformGatewayNode::LeaveFleet(std::function<void()> done) {
  session_.Leave();
  membership_.Leave();
  leave_timer_.Start(kLeaveDelay, std::move(done));
}

void PlatformGatewayNode::HandleHttp(http::Request request,
                                     std::shared_ptr<http::ResponseWriter> writer) {
  traffic_.HandleRequest(std::move(request), std::move(writer));
}

void PlatformGatewayNode::HandleAdmin(http::Request request,
                                      std::shared_ptr<http::ResponseWriter> writer) {
  if (HandleIndexStats(request, admin_api_, index_, writer.get())) return;
  if (admin_api_.HandleRequest(request, writer)) return;
  http::Response response;
  response.status = kNotFound;
  writer->SendResponse(std::move(response));
}

void PlatformGatewayNode::OnSeedsChanged(const std::vector<std::string>& seeds) {
  settings_.node.seeds = seeds;
  membership_.SetSeeds(seeds);
}

}  // namespace posthatch::server
