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
  // How long an unanswered sending is waited for. A change that must come into force first takes up
  // to a session lease, so it is asked for again less often.
  runtime::Duration resend_interval = std::chrono::milliseconds(400);
  runtime::Duration in_force_resend_interval = std::chrono::milliseconds(1500);
  // Calls under way; beyond, new ones end with ResourceExhausted.
  size_t max_calls = 4096;
};

// Brings commands and queries to the leading controller and sends them again, with the same request
// id, until they are answered or their time is over. Used by gateways (through GatewaySession) and
// by controllers for their own operators' interface. Owned by either; event loop thread only.
class LeaderClient : public ControlClient, public QueryClient {
 public:
  using Sender = std::function<void(const std::string& endpoint, const ControlMessage& message)>;

  // `locator` outlives the client.
  LeaderClient(runtime::Runtime* runtime, LeaderClientOptions options, LeaderLocator* locator,
               Sender sender);

  // `done` runs once, never within the call.
  void Propose(Command command, runtime::Duration timeout, bool until_in_force,
               ProposeDone done) override;
  void Query(std::string name, std::string argument, runtime::Duration timeout,
             QueryDone done) override;

  // Answers that came in; unknown and late ones are ignored.
  void OnProposeResponse(const std::string& from_endpoint, const ProposeResponse& response);
  void OnQueryResponse(const std::string& from_endpoint, const QueryResponse& response);

  size_t pending_operations() const { return operations_.size(); }

 private:
  // One command or query, over all its sendings.
  struct Operation {
    explicit Operation(runtime::TimerService* timers) : timer(timers) {}
    ControlMessage message;
    runtime::MonotonicTime deadline;
    runtime::Duration resend_interval{};
    ProposeDone propose_done;
    QueryDone query_done;
    // Sendings that nobody has refused: as long as there is one, the command may be applied.
    absl::flat_hash_set<uint64_t> outstanding_calls;
    bool uncertain = false;
    std::string sent_to;
    runtime::Timer timer;
  };

  void Start(std::unique_ptr<Operation> operation, runtime::Duration timeout);
  void SendOperation(uint64_t operation_id);
  void OnResendTimeout(uint64_t operation_id);
  void ScheduleSend(uint64_t operation_id, runtime::Duration delay);
  // A sending was refused: nothing came of it. Sends again after a pause.
  void OnRejected(uint64_t call, const std::string& from_endpoint, const std::string& hint);
  void Finish(uint64_t operation_id, const absl::Status& status);
  // The operation that `call` belongs to, or 0.
  uint64_t FindOperationByCall(uint64_t call) const;
  std::unique_ptr<Operation> Remove(uint64_t operation_id);

  runtime::Runtime* const runtime_;
  const LeaderClientOptions options_;
  LeaderLocator* const locator_;
  const Sender sender_;
  std::map<uint64_t, std::unique_ptr<Operation>> operations_;
  absl::flat_hash_map<uint64_t, uint64_t> operation_by_call_;  // call -> operation
  uint64_t last_operation_ = 0;
  uint64_t last_call_;
};

}  // namespace posthatch::control
