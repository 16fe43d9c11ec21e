#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "posthatch/control/client/control_client.h"
#include "posthatch/control/client/leader_locator.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::control {

struct LeaderClientOptions {
  // Time without a response after which a call is resent. With `until_in_force` a response may take
  // as long as a session lease, so that calls are resent less often.
  runtime::Duration resend_interval = std::chrono::milliseconds(400);
  runtime::Duration in_force_resend_interval = std::chrono::milliseconds(1500);
  // Pending commands and queries; further ones fail with ResourceExhausted.
  size_t max_operations = 4096;
};

// Sends commands and queries to the leading controller, and resends them with the same request id
// until there is a response or the timeout passes. Owned by GatewaySession, or by ControllerService
// for the controller's own operators' interface; event loop thread only.
class LeaderClient : public ControlClient, public QueryClient {
 public:
  using Sender = std::function<void(const std::string& endpoint, const ControlMessage& message)>;

  // `runtime` and `locator` must outlive this object.
  LeaderClient(runtime::Runtime* runtime, LeaderClientOptions options, LeaderLocator* locator,
               Sender sender);

  // `done` runs once, never before Propose or Query returns.
  void Propose(Command command, runtime::Duration timeout, bool until_in_force,
               ProposeDone done) override;
  void Query(std::string name, std::string argument, runtime::Duration timeout,
             QueryDone done) override;

  // Handle received responses; those to unknown and finished calls are ignored.
  void OnProposeResponse(const std::string& from_endpoint, const ProposeResponse& response);
  void OnQueryResponse(const std::string& from_endpoint, const QueryResponse& response);

 private:
  // An operation is one command or query; each transmission of it is a call with its own number.
  struct Operation {
    explicit Operation(runtime::TimerService* timers) : timer(timers) {}
    ControlMessage message;
    runtime::MonotonicTime deadline;
    runtime::Duration resend_interval{};
    ProposeDone propose_done;
    QueryDone query_done;
    // Calls that no controller has rejected: as long as there is one, the command may be applied.
    absl::flat_hash_set<uint64_t> outstanding_calls;
    bool uncertain = false;  // a controller accepted it and lost its leadership
    std::string target;      // endpoint that the last call was sent to
    runtime::Timer timer;
  };

  void Start(std::unique_ptr<Operation> operation, runtime::Duration timeout);
  void SendOperation(uint64_t operation_id);
  void OnResendTimeout(uint64_t operation_id);
  // Sends the operation, or finishes it if its timeout has passed.
  void SendUnlessTimedOut(uint64_t operation_id);
  void ScheduleSend(uint64_t operation_id, runtime::Duration delay);
  // Handles the rejection of `call` by a controller that isn't the leader: resends after a backoff.
  void OnRejected(uint64_t call, const std::string& from_endpoint, const std::string& hint);
  void Finish(uint64_t operation_id, const absl::Status& status);
  // The id of the operation that `call` belongs to; 0 if there is none.
  uint64_t FindOperationByCall(uint64_t call) const;
  void RemoveCall(uint64_t operation_id, uint64_t call);
  std::unique_ptr<Operation> RemoveOperation(uint64_t operation_id);

  runtime::Runtime* const runtime_;
  const LeaderClientOptions options_;
  LeaderLocator* const locator_;
  const Sender sender_;
  std::map<uint64_t, std::unique_ptr<Operation>> operations_;
  absl::flat_hash_map<uint64_t, uint64_t> operation_by_call_;  // call number -> operation id
  uint64_t last_operation_id_ = 0;
  uint64_t last_call_;
};

}  // namespace posthatch::control
