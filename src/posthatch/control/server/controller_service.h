#pragma once

#include <cstddef>
#include <cstdint>

#include "posthatch/consensus/replicated_log.h"
#include "posthatch/control/client/leader_client.h"
#include "posthatch/control/client/leader_locator.h"
#include "posthatch/control/inventory/inventory_poller.h"
#include "posthatch/control/server/control_messenger.h"
#include "posthatch/control/server/controller_host.h"
#include "posthatch/control/server/controller_metrics.h"
#include "posthatch/control/server/internal_proposer.h"
#include "posthatch/control/server/inventory_publisher.h"
#include "posthatch/control/server/leader_lease_guard.h"
#include "posthatch/control/server/leadership.h"
#include "posthatch/control/server/proposal_server.h"
#include "posthatch/control/server/push_scheduler.h"
#include "posthatch/control/server/query_server.h"
#include "posthatch/control/server/session_server.h"
#include "posthatch/control/server/session_table.h"
#include "posthatch/control/server/worker_lease_manager.h"
#include "posthatch/control/state/control_state.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::control {

struct ControllerServiceOptions {
  runtime::Duration session_lease = std::chrono::seconds(4);
  // Fraction by which a new leader waits longer than a lease before it relies on the end of the
  // sessions that a previous leader granted: clocks may run at different rates.
  double clock_rate_margin = 0.02;
  InventoryPollerOptions inventory;
  // Limit of pending proposals, including those waiting to come into force; further ones are
  // rejected with OVERLOADED.
  size_t max_proposals = 2048;
  // Limit of queries that wait for their read barrier; further ones are rejected.
  size_t max_queries = 256;
  // Interval between two plans of the worker leases.
  runtime::Duration plan_interval = std::chrono::milliseconds(250);
  PushSchedulerOptions push;
  LeaderClientOptions client;
};

// Serves gateways and operators on top of the replicated log (docs/design-docs/configuration.md).
// Owns the components that act while this controller leads, dispatches messages to them, and
// starts, resets and stops them when its leadership changes: SessionServer (session leases),
// PushScheduler (changed sections), ProposalServer (commands), QueryServer (views),
// InventoryPublisher (platform inventory) and WorkerLeaseManager (worker leases). On followers the
// servers only respond with the leader's endpoint.
//
// One per controller, on its event loop thread. Registers the receiver of SERVICE_CONTROL at the
// runtime's transport, the log's leadership listener and the state's section listener.
class ControllerService {
 public:
  // Every pointer must outlive this object.
  ControllerService(runtime::Runtime* runtime, const ControllerServiceOptions& options,
                    ControllerHost* host, consensus::ReplicatedLog* log,
                    const LeaderLeaseGuard* leader_lease_guard, ControlState* state);
  ~ControllerService();
  ControllerService(const ControllerService&) = delete;
  ControllerService& operator=(const ControllerService&) = delete;

  // Client of the leader, which may be this process, for this controller's own operators'
  // interface.
  LeaderClient* client() { return &client_; }
  // True if this controller leads and has applied all that earlier leaders acknowledged.
  bool leading() const { return leadership_.active(); }
  size_t session_count() const { return sessions_.sessions().size(); }
  const RevisionTimeline& revision_timeline() const { return revision_timeline_; }
  // Publishes the platform's last inventory snapshot again, with new annotations.
  void RefreshInventory() { inventory_.Refresh(); }

 private:
  void OnLeadership(bool is_leader, uint64_t term);
  void BeginLeadership(uint64_t term);
  void EndLeadership(uint64_t term);
  void ResetTermState();
  void OnSectionsChanged();
  // Processes a message, and counts it and the time that it took.
  void OnMessage(const ControlPeer& sender, const ControlMessage& message);
  void Dispatch(const ControlPeer& sender, const ControlMessage& message);

  runtime::Runtime* const runtime_;
  // Upper bound of a session lease granted by a previous leader, by this controller's clock.
  const runtime::Duration max_previous_lease_;
  ControllerHost* const host_;
  consensus::ReplicatedLog* const log_;
  ControlState* const state_;

  // Maintained on followers too, so that a new leader continues with the same times.
  RevisionTimeline revision_timeline_;
  ControllerMetrics metrics_;
  Leadership leadership_;
  SessionTable sessions_;
  ControlMessenger messenger_;
  LeaderLocator locator_;
  LeaderClient client_;
  InternalProposer proposer_;
  InventoryPublisher inventory_;
  SectionEncoder encoder_;
  PushScheduler pushes_;
  ProposalServer proposals_;
  QueryServer queries_;
  SessionServer session_server_;
  WorkerLeaseManager worker_leases_;
};

}  // namespace posthatch::control
