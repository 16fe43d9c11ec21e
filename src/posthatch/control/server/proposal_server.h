#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "absl/status/statusor.h"
#include "posthatch/consensus/replicated_log.h"
#include "posthatch/control/server/control_messenger.h"
#include "posthatch/control/server/controller_metrics.h"
#include "posthatch/control/server/in_force_waiters.h"
#include "posthatch/control/server/leadership.h"
#include "posthatch/control/server/push_scheduler.h"
#include "posthatch/control/server/session_table.h"
#include "posthatch/control/state/control_state.h"
#include "posthatch/runtime/runtime.h"
#include "posthatch/util/lifetime.h"

namespace posthatch::control {

// On the leader: proposes the commands of gateways and operators to the replicated log and responds
// once they are applied or, if requested, in force at every session. On followers it responds with
// the leader's endpoint. Owned by ControllerService; event loop thread only.
class ProposalServer {
 public:
  // `max_proposals` limits the pending proposals, including those waiting to come into force;
  // further ones are rejected with OVERLOADED. Every pointer must outlive this object.
  ProposalServer(runtime::Runtime* runtime, size_t max_proposals, consensus::ReplicatedLog* log,
                 const Leadership* leadership, const ControlState* state,
                 const SessionTable* sessions, PushScheduler* pushes, ControlMessenger* messenger,
                 ControllerMetrics* metrics);

  void OnRequest(const ControlPeer& sender, const ProposeRequest& request);
  // Ends the waits for changes to come into force, with the status UNCERTAIN.
  void Reset() { waiters_.FailAll(); }
  // Continues the control time from where the previous leader left it.
  void BeginTerm() { control_time_base_ms_ = state_->delivery_now_ms(); }
  // Called after a session ended: pending changes may be in force everywhere now.
  void OnSessionEnded();
  // Called after a session acknowledged sections or was renewed.
  void OnSessionAcked();

 private:
  // Identifies a proposal: a resent request has the same key as the original one.
  struct ProposalKey {
    std::string endpoint;  // internal endpoint of the proposer
    uint64_t incarnation = 0;
    std::string request_id;
    bool until_in_force = false;

    friend auto operator<=>(const ProposalKey&, const ProposalKey&) = default;
  };

  ProposalKey MakeKey(const ControlPeer& sender, const ProposeRequest& request);
  // STATUS_UNSPECIFIED if a proposal can be accepted.
  ProposeResponse::Status CheckAdmission() const;
  void Reject(const ControlPeer& sender, uint64_t call, ProposeResponse::Status status);
  // Sets the control time in commands whose effect depends on the time.
  void StampControlTime(Command* command) const;
  void OnProposalDone(const ProposalKey& key, const absl::StatusOr<std::string>& serialized_result);
  void RespondNotApplied(const ProposalKey& key, const absl::Status& status);
  void WaitUntilInForce(const ProposalKey& key, const CommandResult& result);
  void Respond(const ProposalKey& key, ProposeResponse response);
  void RespondUncertain(const ProposalKey& key);
  void RespondDone(const ProposalKey& key, const CommandResult& result);
  void ScheduleInForceCheck(runtime::Duration delay);
  void CheckInForce();

  runtime::Runtime* const runtime_;
  const size_t max_proposals_;
  consensus::ReplicatedLog* const log_;
  const Leadership* const leadership_;
  const ControlState* const state_;
  const SessionTable* const sessions_;
  PushScheduler* const pushes_;
  ControlMessenger* const messenger_;
  ControllerMetrics* const metrics_;

  InForceWaiters waiters_;
  // Number of each pending proposal's newest call, which gets the response.
  std::map<ProposalKey, uint64_t> pending_calls_;
  uint64_t anonymous_proposal_count_ = 0;  // distinguishes proposals without a request id
  int64_t control_time_base_ms_ = 0;
  runtime::Timer check_timer_;
  util::Lifetime lifetime_;
};

}  // namespace posthatch::control
