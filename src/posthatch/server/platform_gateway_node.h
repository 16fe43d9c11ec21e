#pragma once

#include <memory>
#include <string>
#include <vector>

#include "posthatch/control/admin/admin_api.h"
#include "posthatch/control/client/gateway_session.h"
#include "posthatch/index/index_node.h"
#include "posthatch/membership/gossip_membership.h"
#include "posthatch/routing/traffic_gateway.h"
#include "posthatch/server/platform_formats.h"
#include "posthatch/server/process.h"
#include "posthatch/server/settings/node_settings.h"

namespace posthatch::server {

// A gateway for routed traffic on the users' platform: finds the controllers by gossip, follows the
// fleet's state, maintains the prefix cache index, and serves callers in the platform's formats
// through routing::TrafficGateway. Without controllers it continues with the last known state and
// uses no index entry whose freshness has expired. Owned by the process runner; event loop thread
// only.
class PlatformGatewayNode : public Process {
 public:
  PlatformGatewayNode(runtime::Runtime* runtime, GatewaySettings settings,
                      const PlatformFormats& formats);

  absl::Status Start() override;
  bool Ready() const override { return traffic_.Ready(); }
  // Waits for requests in progress, then ends the session and leaves the fleet.
  void Drain(std::function<void()> done) override;
  void HandleHttp(http::Request request, std::shared_ptr<http::ResponseWriter> writer) override;
  void HandleAdmin(http::Request request, std::shared_ptr<http::ResponseWriter> writer) override;
  void OnSeedsChanged(const std::vector<std::string>& seeds) override;

 private:
  routing::TrafficGatewayOptions MakeTrafficOptions(const PlatformFormats& formats);
  std::vector<std::string> ControllerEndpoints() const;
  std::vector<std::string> ChannelServers() const;
  std::vector<std::string> GatewayIds() const;
  std::vector<routing::LoadPeer> OtherGateways() const;
  std::vector<index::IndexPeer> OtherIndexPeers() const;
  void RefreshGateways() const;
  void LeaveFleet(std::function<void()> done);

  runtime::Runtime* const runtime_;
  GatewaySettings settings_;
  membership::GossipMembership membership_;
  control::GatewaySession session_;
  index::IndexNode index_;
  routing::TrafficGateway traffic_;
  control::AdminApi admin_api_;
  runtime::Timer leave_timer_;
  // Live gateways known by gossip; recomputed on access, at most once per kMemberRefreshInterval.
  mutable std::vector<std::string> gateway_ids_;
  mutable std::vector<routing::LoadPeer> other_gateways_;
  mutable std::vector<index::IndexPeer> index_peers_;
  mutable runtime::MonotonicTime gateways_refreshed_at_;
};

}  // namespace posthatch::server
