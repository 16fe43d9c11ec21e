#pragma once

#include <map>
#include <string>

#include "posthatch/control/control.pb.h"
#include "posthatch/control/server/session_table.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::control {

// Decides which gateway cares for which worker: one of the worker's zone if there is any, chosen by
// rendezvous hashing among those that have room, so that few workers move when gateways come and
// go. Pure: from the state, the sessions and the time to one command.
class WorkerLeasePlanner {
 public:
  // Grants and releases in one command, so that a large fleet's change is spread over several.
  static constexpr int kMaxChanges = 500;

  // Leases of gateways that have restarted, for their new lives: released and granted at once,
  // since nobody can believe to hold them any more. Unlike Plan it needn't wait until other leases
  // of a former leader have run out, and no worker changes its gateway.
  static GrantWorkerLeases PlanForRestartedGateways(const FleetState& fleet,
                                                    const SessionTable& sessions);

  // Releases first: leases of sessions that are gone, of workers that left the inventory, and of
  // holders with too many or in the wrong zone. If there is anything to release, no grants are
  // made: they wait until the release is in force. Only sessions that have not run out at `now`
  // count.
  static GrantWorkerLeases Plan(const FleetState& fleet,
                                const std::map<SessionKey, Session>& sessions,
                                runtime::MonotonicTime now);
};

}  // namespace posthatch::control
