#pragma once

#include <string>

#include "posthatch/consensus/replicated_log.h"
#include "posthatch/control/server/control_messenger.h"
#include "posthatch/control/server/controller_metrics.h"
#include "posthatch/control/server/inventory_publisher.h"
#include "posthatch/control/server/leadership.h"
#include "posthatch/control/server/proposal_server.h"
#include "posthatch/control/server/push_scheduler.h"
#include "posthatch/control/server/section_encoder.h"
#include "posthatch/control/server/session_table.h"
#include "posthatch/control/state/control_state.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::control {

// On the leader: grants and renews the gateways' session leases and processes their
// acknowledgements of pushed sections. On followers it responds with the leader's endpoint. Owned
// by ControllerService; event loop thread only.
class SessionServer {
 public:
  // `session_lease` is the duration granted with each renewal. Every pointer must outlive this
  // object.
  SessionServer(runtime::Runtime* runtime, runtime::Duration session_lease,
                const consensus::ReplicatedLog* log, const Leadership* leadership,
                const ControlState* state, const RevisionTimeline* revisions,
                const InventoryPublisher* inventory, SectionEncoder* encoder,
                SessionTable* sessions, PushScheduler* pushes, ProposalServer* proposals,
                ControlMessenger* messenger, ControllerMetrics* metrics);

  void OnRenewal(const ControlPeer& sender, const SessionRenewal& renewal);
  void OnPushAck(const StatePushAck& ack);

 private:
  void SendLeaderHint(const std::string& endpoint);
  // Responds to a gateway that can't apply the newest configuration (NACK): without a lease it may
  // no longer decide by the previous configuration, but it gets newer sections, which may be valid.
  void RejectLease(const ControlPeer& sender, const SessionRenewal& renewal);
  void RenewSession(const ControlPeer& sender, const SessionRenewal& renewal);
  // Returns the serialized grant.
  std::string MakeGrant(const SessionRenewal& renewal, runtime::Duration lease);

  runtime::Runtime* const runtime_;
  const runtime::Duration session_lease_;
  const consensus::ReplicatedLog* const log_;
  const Leadership* const leadership_;
  const ControlState* const state_;
  const RevisionTimeline* const revisions_;
  const InventoryPublisher* const inventory_;
  SectionEncoder* const encoder_;
  SessionTable* const sessions_;
  PushScheduler* const pushes_;
  ProposalServer* const proposals_;
  ControlMessenger* const messenger_;
  ControllerMetrics* const metrics_;
};

}  // namespace posthatch::control
