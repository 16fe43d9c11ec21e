#pragma once

#include <memory>

#include "posthatch/control/admin/admin_api.h"
#include "posthatch/control/client/gateway_session.h"
#include "posthatch/gateway/gateway.h"
#include "posthatch/index/index_node.h"
#include "posthatch/membership/gossip_membership.h"
#include "posthatch/rollout/revision_enforcer.h"
#include "posthatch/server/process.h"
#include "posthatch/server/settings/node_settings.h"

namespace posthatch::server {

// A gateway for posthatch's own HTTP API: finds the controllers by gossip, holds a session lease,
// maintains the prefix cache index, serves callers, and manages the workers whose leases it holds.
// The same in real processes and in the simulator. Owned by the process runner; event loop thread
// only.
class GatewayNode : public Process {
 public:
  GatewayNode(runtime::Runtime* runtime, GatewaySettings settings);

  absl::Status Start() override;
  bool Ready() const override;
  // Waits for requests in progress, then ends the session and leaves the fleet.
  void Drain(std::function<void()> done) override;
  void HandleHttp(http::Request request, std::shared_ptr<http::ResponseWriter> writer) override;
  void OnSeedsChanged(const std::vector<std::string>& seeds) override {
    membership_.SetSeeds(seeds);
  }

 private:
  void LeaveFleet(std::function<void()> done);

  const GatewaySettings settings_;
  membership::GossipMembership membership_;
  control::GatewaySession session_;
  index::IndexNode index_;
  gateway::Gateway gateway_;
  rollout::RevisionEnforcer revision_enforcer_;
  control::AdminApi admin_api_;
  runtime::Timer leave_timer_;
};

}  // namespace posthatch::server
