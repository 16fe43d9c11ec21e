#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "posthatch/consensus/raft_replica.h"
#include "posthatch/control/admin/admin_api.h"
#include "posthatch/control/admin/operator_api.h"
#include "posthatch/control/server/controller_host.h"
#include "posthatch/control/server/controller_service.h"
#include "posthatch/control/server/leader_lease_guard.h"
#include "posthatch/control/state/control_state.h"
#include "posthatch/invalidation/invalidation_server.h"
#include "posthatch/membership/gossip_membership.h"
#include "posthatch/rollout/rollout_coordinator.h"
#include "posthatch/server/platform_formats.h"
#include "posthatch/server/process.h"
#include "posthatch/server/settings/node_settings.h"

namespace posthatch::server {

// A controller: one replica of the log with the control state, the invalidation server, and the
// services that the leader offers to gateways and operators. The same in real processes and in the
// simulator. Owned by the process runner; event loop thread only.
class ControllerNode : public Process,
                       public control::LeaderLeaseGuard,
                       private control::ControllerHost {
 public:
  // `formats`: the formats of the platform, for a fleet with routed traffic; null for a fleet that
  // serves only posthatch's own HTTP API.
  ControllerNode(runtime::Runtime* runtime, ControllerSettings settings,
                 const PlatformFormats* formats = nullptr);

  // Reads the data folder. Errors: those of RaftReplica::Start.
  absl::Status Start() override;
  // True while this replica is a member of a cluster, knows a leader and has not failed.
  bool Ready() const override;
  // Transfers leadership, then leaves the fleet. The replica remains a voter.
  void Drain(std::function<void()> done) override;
  void HandleHttp(http::Request request, std::shared_ptr<http::ResponseWriter> writer) override;
  void OnSeedsChanged(const std::vector<std::string>& seeds) override;

  // Whether this controller leads and has recent responses from a majority.
  bool HasLeaderLease() const override;

  const consensus::RaftReplica& replica() const { return replica_; }
  const control::ControlState& state() const { return state_; }

 private:
  invalidation::ServingState MakeServingState() const;
  // control::ControllerHost.
  std::vector<std::string> ControllerEndpoints() const override;
  std::optional<std::string> ControllersView() const override;
  void AnnotateInventory(control::Inventory* inventory) override;
  void OnLeadershipChange(bool is_leader, uint64_t term) override;
  void OnSectionsChanged() override;

  control::ControllerServiceOptions MakeServiceOptions() const;
  rollout::RolloutOptions MakeRolloutOptions() const;
  rollout::RolloutCoordinator::Dependencies MakeRolloutDependencies();
  void LeaveFleet(std::function<void()> done);

  runtime::Runtime* const runtime_;
  ControllerSettings settings_;
  const PlatformFormats* const formats_;
  membership::GossipMembership membership_;
  control::ControlState state_;
  consensus::RaftReplica replica_;
  control::ControllerService service_;
  invalidation::InvalidationServer invalidation_server_;
  control::AdminApi admin_api_;
  // `operator_api_` and `rollouts_` are null if `formats_` is null.
  std::unique_ptr<control::OperatorApi> operator_api_;
  std::unique_ptr<rollout::RolloutCoordinator> rollouts_;
  runtime::Timer leave_timer_;
};

}  // namespace posthatch::server
