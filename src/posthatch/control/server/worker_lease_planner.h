#pragma once

#include <map>
#include <string>

#include "posthatch/control/control.pb.h"
#include "posthatch/control/server/session_table.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::control {

// Assigns each worker to a gateway of its zone, or to any gateway if the zone has none. Chooses by
// rendezvous hashing among those with spare capacity, so that few workers move when gateways join
// and leave.
// Stateless: computes one command from the state, the sessions and the time.
class WorkerLeasePlanner {
 public:
  // Maximum of grants and releases in one command; a large fleet's changes are spread over several.
  static constexpr int kMaxChanges = 500;

  // Moves the leases of restarted gateways to their new incarnations: releases and grants them in
  // one command, since the previous incarnation can't act on them any more. Unlike Plan it needn't
  // wait for the sessions of a previous leader to expire, and no worker changes its gateway.
  static GrantWorkerLeases PlanForRestartedGateways(const FleetState& fleet,
                                                    const SessionTable& sessions);

  // Releases first: the leases of expired sessions, of workers that left the inventory, and of
  // gateways with too many leases or in another zone. If there is anything to release, no grants
  // are made: they wait until the release is in force. Only sessions that are valid at `now` count.
  static GrantWorkerLeases Plan(const FleetState& fleet,
                                const std::map<SessionKey, Session>& sessions,
                                runtime::MonotonicTime now);
};

}  // namespace posthatch::control
