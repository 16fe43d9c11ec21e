#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "absl/status/statusor.h"
#include "posthatch/control/control.pb.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::control {

// What a gateway knows of the fleet, and whether it may decide by it. Event loop thread only.
class FleetView {
 public:
  // Called after any section changed, with the state already in force.
  using Listener = std::function<void(const FleetState&)>;

  virtual ~FleetView() = default;
  // True while the session lease, counted from when its renewal was sent, has not run out. Without
  // it, nothing may be decided by `state()`.
  virtual bool LeaseValid() const = 0;
  virtual runtime::MonotonicTime lease_expiry() const = 0;
  virtual const FleetState& state() const = 0;
  // Age of the inventory reading behind state().inventory(), from when it was asked for.
  virtual runtime::Duration InventoryAge() const = 0;
  virtual void AddListener(Listener listener) = 0;
};

// Brings commands to the leading controller: finds it, follows redirections, and sends again (with
// the same request id) until an answer comes or the time is over.
class ControlClient {
 public:
  // Result of the state machine, or DeadlineExceeded / Unavailable: it may still be applied, or
  // ResourceExhausted: it was not taken and will not be applied.
  using ProposeDone = std::function<void(absl::StatusOr<CommandResult>)>;

  virtual ~ControlClient() = default;
  // `command.request_id` must be set. With `until_in_force` the answer comes only once the change
  // is in force at every gateway that holds a session lease.
  virtual void Propose(Command command, runtime::Duration timeout, bool until_in_force,
                       ProposeDone done) = 0;
};

// Asks the leading controller for a view of the control state (QueryRequest).
class QueryClient {
 public:
  // The answer, or DeadlineExceeded / ResourceExhausted.
  using QueryDone = std::function<void(absl::StatusOr<QueryResponse>)>;

  virtual ~QueryClient() = default;
  virtual void Query(std::string name, std::string argument, runtime::Duration timeout,
                     QueryDone done) = 0;
};

}  // namespace posthatch::control
