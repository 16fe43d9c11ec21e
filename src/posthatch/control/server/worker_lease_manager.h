#pragma once

#include "posthatch/control/server/controller_metrics.h"
#include "posthatch/control/server/internal_proposer.h"
#include "posthatch/control/server/leadership.h"
#include "posthatch/control/server/session_table.h"
#include "posthatch/control/state/control_state.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::control {

// On the leader: compares the worker leases with the sessions and the inventory at each interval
// and proposes the changes that WorkerLeasePlanner finds; one proposal is in flight at a time.
// Owned by ControllerService; event loop thread only.
class WorkerLeaseManager {
 public:
  // Every pointer must outlive this object.
  WorkerLeaseManager(runtime::Runtime* runtime, runtime::Duration plan_interval,
                     const Leadership* leadership, const ControlState* state,
                     SessionTable* sessions, InternalProposer* proposer,
                     ControllerMetrics* metrics);

  // Clears the in-flight proposal of an earlier term.
  void Reset() { proposal_in_flight_ = false; }
  void Start();
  void Stop() { timer_.Cancel(); }

 private:
  void Plan();
  // Empty if no lease needs to be changed, or none may be changed yet.
  GrantWorkerLeases MakePlan(runtime::MonotonicTime now) const;

  runtime::Runtime* const runtime_;
  const runtime::Duration plan_interval_;
  const Leadership* const leadership_;
  const ControlState* const state_;
  SessionTable* const sessions_;
  InternalProposer* const proposer_;
  ControllerMetrics* const metrics_;

  bool proposal_in_flight_ = false;
  runtime::Timer timer_;
};

}  // namespace posthatch::control
