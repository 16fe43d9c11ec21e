#include "posthatch/control/server/worker_lease_manager.h"

#include "posthatch/control/server/worker_lease_planner.h"

namespace posthatch::control {

WorkerLeaseManager::WorkerLeaseManager(runtime::Runtime* runtime, runtime::Duration plan_interval,
                                       const Leadership* leadership, const ControlState* state,
                                       SessionTable* sessions, InternalProposer* proposer,
                                       ControllerMetrics* metrics)
    : runtime_(runtime),
      plan_interval_(plan_interval),
      leadership_(leadership),
      state_(state),
      sessions_(sessions),
      proposer_(proposer),
      metrics_(metrics),
      timer_(runtime->timers) {}

void WorkerLeaseManager::Start() {
  timer_.Start(plan_interval_, [this] { Plan(); });
}

void WorkerLeaseManager::Plan() {
  Start();
  const runtime::MonotonicTime now = runtime_->clock->Now();
  if (!leadership_->HasLeaderLease() || proposal_in_flight_) return;
  sessions_->RemoveExpired(now);
  metrics_->sessions().Set(static_cast<double>(sessions_->sessions().size()));
  Command command;
  GrantWorkerLeases& plan = *command.mutable_grant_worker_leases();
  plan = MakePlan(now);
  if (plan.grants().empty() && plan.released().empty()) return;
  proposal_in_flight_ = true;
  proposer_->Propose(command, [this](bool /*applied*/) { proposal_in_flight_ = false; });
}

GrantWorkerLeases WorkerLeaseManager::MakePlan(runtime::MonotonicTime now) const {
  const FleetState& fleet = state_->fleet();
  GrantWorkerLeases plan = WorkerLeasePlanner::PlanForRestartedGateways(fleet, *sessions_);
  if (!plan.grants().empty()) return plan;
  // A released worker is granted again only once no gateway can still consider itself the lease
  // holder: neither one with a session of a previous leader nor one that hasn't acknowledged the
  // release.
  const bool releases_acked = leadership_->PreviousSessionsExpired(now) &&
                              sessions_->AckedByAllSessions(fleet.leases_index(), now);
  if (!releases_acked) return {};
  return WorkerLeasePlanner::Plan(fleet, sessions_->sessions(), now);
}

}  // namespace posthatch::control
