#include "posthatch/server/controller_node.h"

#include <utility>

#include "posthatch/server/controllers_view.h"
#include "posthatch/server/member_views.h"
#include "posthatch/server/node_options.h"

namespace posthatch::server {
namespace {

constexpr int kNotFound = 404;

consensus::ReplicaOptions MakeReplicaOptions(const ControllerSettings& settings,
                                             const membership::Membership* membership) {
  consensus::ReplicaOptions options;
  options.bootstrap_expect = settings.bootstrap_expect;
  if (settings.founded_by_seeds) options.bootstrap_voters = settings.node.seeds;
  options.raft.target_voters = settings.target_voters;
  options.peers = [membership, settings = &settings] {
    return LiveEndpoints(*membership, membership::MemberRole::kController, settings->node.seeds);
  };
  return options;
}

}  // namespace

ControllerNode::ControllerNode(runtime::Runtime* runtime, ControllerSettings settings,
                               const PlatformFormats* formats)
    : runtime_(runtime),
      settings_(std::move(settings)),
      formats_(formats),
      membership_(runtime,
                  MakeSelfMember(settings_.node, membership::MemberRole::kController,
                                 runtime->transport->incarnation()),
                  settings_.node.seeds, membership::GossipOptions{}),
      replica_(runtime, MakeReplicaOptions(settings_, &membership_), &state_),
      service_(runtime, MakeServiceOptions(), this, &replica_, this, &state_),
      invalidation_server_(runtime, invalidation::InvalidationServerOptions{}, &state_,
                           [this] { return MakeServingState(); }),
      admin_api_(runtime, MakeAdminOptions(settings_.node, &membership_), service_.client(),
                 service_.client()),
      leave_timer_(runtime->timers) {
  if (formats_ == nullptr) return;
  operator_api_ = std::make_unique<control::OperatorApi>(runtime, control::OperatorApiOptions{},
                                                         formats_->operators, &state_.evacuations(),
                                                         service_.client(), service_.client());
  rollouts_ = std::make_unique<rollout::RolloutCoordinator>(runtime, MakeRolloutOptions(),
                                                            MakeRolloutDependencies());
}

rollout::RolloutOptions ControllerNode::MakeRolloutOptions() const {
  rollout::RolloutOptions options;
  options.issuer = settings_.node.node_id;
  options.handover_period = settings_.order_handover;
  options.revision_deadline = settings_.rollout_deadline;
  return options;
}

rollout::RolloutCoordinator::Dependencies ControllerNode::MakeRolloutDependencies() {
  rollout::RolloutCoordinator::Dependencies dependencies;
  dependencies.format = formats_->worker_commands;
  dependencies.fleet = [this]() -> const control::FleetState& { return state_.fleet(); };
  dependencies.revisions = &service_.revision_timeline();
  dependencies.may_command = [this] { return service_.leading() && replica_.HasQuorumNow(); };
  dependencies.publish = [this] { service_.RefreshInventory(); };
  return dependencies;
}

void ControllerNode::OnSeedsChanged(const std::vector<std::string>& seeds) {
  settings_.node.seeds = seeds;
  membership_.SetSeeds(seeds);
}

control::ControllerServiceOptions ControllerNode::MakeServiceOptions() const {
  control::ControllerServiceOptions options;
  options.session_lease = settings_.session_lease;
  options.inventory.endpoint = settings_.node.inventory_endpoint;
  options.inventory.poll_interval = settings_.inventory_poll_interval;
  if (formats_ != nullptr) options.inventory.format = formats_->inventory;
  return options;
}

std::vector<std::string> ControllerNode::ControllerEndpoints() const {
  return LeaderCandidates(membership_, settings_.node.seeds);
}

std::optional<std::string> ControllerNode::ControllersView() const {
  return server::ControllersView(replica_.Status());
}

void ControllerNode::AnnotateInventory(control::Inventory* inventory) {
  if (rollouts_ != nullptr) rollouts_->Annotate(inventory);
}

void ControllerNode::OnLeadershipChange(bool is_leader, uint64_t term) {
  if (rollouts_ != nullptr) rollouts_->OnLeadership(is_leader, term);
}

void ControllerNode::OnSectionsChanged() {
  if (operator_api_ != nullptr) operator_api_->OnStateChanged();
}

absl::Status ControllerNode::Start() {
  replica_.SetFailureListener([this](const absl::Status& status) {
    // The replica has stopped permanently: this process forwards reads to the leader and is not
    // ready any more.
    runtime_->trace->Event(runtime::Severity::kError, "ReplicaFailed",
                           {{"error", status.ToString()}});
  });
  membership_.Start();
  return replica_.Start();
}

bool ControllerNode::Ready() const {
  return replica_.Status().failure.ok() &&
         replica_.role() != consensus::ReplicaRole::kUnbootstrapped &&
         !replica_.leader_endpoint().empty();
}

bool ControllerNode::HasLeaderLease() const { return replica_.HasQuorumNow(); }

invalidation::ServingState ControllerNode::MakeServingState() const {
  invalidation::ServingState serving;
  serving.serving = service_.leading() && replica_.HasQuorumNow();
  serving.epoch = replica_.term();
  return serving;
}

void ControllerNode::Drain(std::function<void()> done) {
  if (!replica_.IsLeader()) {
    LeaveFleet(std::move(done));
    return;
  }
  // The process ends whether or not the transfer succeeds.
  replica_.TransferLeadership(
      [this, done = std::move(done)](const absl::Status& /*status*/) { LeaveFleet(done); });
}

void ControllerNode::LeaveFleet(std::function<void()> done) {
  membership_.Leave();
  leave_timer_.Start(kLeaveDelay, std::move(done));
}

void ControllerNode::HandleHttp(http::Request request,
                                std::shared_ptr<http::ResponseWriter> writer) {
  if (operator_api_ != nullptr && operator_api_->HandleRequest(request, writer)) return;
  if (admin_api_.HandleRequest(request, writer)) return;
  http::Response response;
  response.status = kNotFound;
  response.headers.Add("Content-Type", "application/json");
  response.body = R"({"error":{"code":"not_found","message":"controllers serve operators only",)"
                  R"("executed":"no"}})";
  writer->SendResponse(std::move(response));
}

}  // namespace posthatch::server
