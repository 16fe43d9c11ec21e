#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "absl/status/statusor.h"
#include "posthatch/control/control.pb.h"
#include "posthatch/control/state/revision_timeline.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::control {

// A gateway's replica of the fleet state, and whether decisions may still be based on it
// (implementation: GatewaySession). Event loop thread only.
class FleetView {
 public:
  // Called after any section changed, with the new state.
  using Listener = std::function<void(const FleetState&)>;

  virtual ~FleetView() = default;
  // True until the session lease, counted from when its renewal was sent, has expired. Without it
  // state() may be out of date, and no decision may be based on it.
  virtual bool LeaseValid() const = 0;
  virtual runtime::MonotonicTime lease_expiry() const = 0;
  virtual const FleetState& state() const = 0;
  // Time since the inventory in state() was requested from the platform.
  virtual runtime::Duration InventoryAge() const = 0;
  // When the model revisions were set. The reference outlives every caller's use.
  virtual const RevisionTimeline& revision_timeline() const = 0;
  virtual void AddListener(Listener listener) = 0;
};

// Sends commands to the leading controller: finds it, follows redirects, and retries with the same
// request id until there is a response or the timeout passes (implementations: LeaderClient,
// GatewaySession). Event loop thread only.
class ControlClient {
 public:
  // Result of the state machine; DeadlineExceeded: the command may still be applied;
  // ResourceExhausted: no controller accepted it, and it will not be applied.
  using ProposeDone = std::function<void(absl::StatusOr<CommandResult>)>;

  virtual ~ControlClient() = default;
  // `command.request_id` must be set. With `until_in_force`, `done` runs only once the change is in
  // force at every gateway that holds a session lease.
  virtual void Propose(Command command, runtime::Duration timeout, bool until_in_force,
                       ProposeDone done) = 0;
};

// Requests a view of the control state from the leading controller (QueryRequest). Event loop
// thread only.
class QueryClient {
 public:
  // The response; DeadlineExceeded, or ResourceExhausted if no controller accepted the query.
  using QueryDone = std::function<void(absl::StatusOr<QueryResponse>)>;

  virtual ~QueryClient() = default;
  virtual void Query(std::string name, std::string argument, runtime::Duration timeout,
                     QueryDone done) = 0;
};

}  // namespace posthatch::control
