#include "posthatch/server/gateway_node.h"

#include <utility>

#include "posthatch/server/member_views.h"
#include "posthatch/server/node_options.h"

namespace posthatch::server {
namespace {

constexpr std::string_view kAdminPrefix = "/admin/v1/";

index::IndexOptions MakeIndexOptions(const GatewaySettings& settings) {
  index::IndexOptions options;
  options.index_budget_bytes = settings.index_budget_bytes;
  options.zone = settings.node.zone;
  return options;
}

uint32_t CountLiveGateways(const membership::Membership& membership) {
  uint32_t count = 1;  // LiveMembers excludes this gateway
  for (const membership::Member& member : membership.LiveMembers()) {
    if (member.role == membership::MemberRole::kGateway) ++count;
  }
  return count;
}

gateway::GatewayOptions MakeGatewayOptions(const GatewaySettings& settings,
                                           const membership::Membership* membership) {
  gateway::GatewayOptions options;
  options.gateway_id = settings.node.node_id;
  options.zone = settings.node.zone;
  options.inventory_endpoint = settings.node.inventory_endpoint;
  options.routing_mode = settings.routing_mode;
  options.live_gateways = [membership] { return CountLiveGateways(*membership); };
  return options;
}

}  // namespace

GatewayNode::GatewayNode(runtime::Runtime* runtime, GatewaySettings settings)
    : settings_(std::move(settings)),
      membership_(runtime,
                  MakeSelfMember(settings_.node, membership::MemberRole::kGateway,
                                 runtime->transport->incarnation()),
                  settings_.node.seeds, membership::GossipOptions{}),
      session_(runtime, MakeSessionOptions(settings_),
               [this] { return LeaderCandidates(membership_, settings_.node.seeds); }),
      index_(
          runtime, MakeIndexOptions(settings_), &session_, &session_,
          [this] { return LiveIndexPeers(membership_); },
          [this] {
            return LiveEndpoints(membership_, membership::MemberRole::kController,
                                 settings_.node.seeds);
          }),
      gateway_(runtime, MakeGatewayOptions(settings_, &membership_), &session_, &session_,
               index_.locator()),
      revision_enforcer_(runtime, rollout::RevisionEnforcerOptions{}, &session_,
                         [this](const std::string& worker_id, uint64_t* fencing_token) {
                           return session_.HasLeaseOnWorker(worker_id, fencing_token);
                         }),
      admin_api_(runtime, MakeAdminOptions(settings_.node, &membership_), &session_, &session_),
      leave_timer_(runtime->timers) {}

absl::Status GatewayNode::Start() {
  membership_.Start();
  index_.Start();
  revision_enforcer_.Start();
  return absl::OkStatus();
}

bool GatewayNode::Ready() const { return gateway_.Ready(); }

void GatewayNode::Drain(std::function<void()> done) {
  gateway_.Drain([this, done = std::move(done)] { LeaveFleet(done); });
}

void GatewayNode::LeaveFleet(std::function<void()> done) {
  session_.Leave();
  membership_.Leave();
  leave_timer_.Start(kLeaveDelay, std::move(done));
}

void GatewayNode::HandleHttp(http::Request request, std::shared_ptr<http::ResponseWriter> writer) {
  if (!request.target.starts_with(kAdminPrefix)) {
    gateway_.HandleRequest(std::move(request), std::move(writer));
    return;
  }
  if (HandleIndexStats(request, admin_api_, index_, writer.get())) return;
  if (!admin_api_.HandleRequest(request, writer)) {
    gateway_.HandleRequest(std::move(request), std::move(writer));
  }
}

}  // namespace posthatch::server
