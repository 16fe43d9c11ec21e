#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include "posthatch/consensus/replicated_log.h"
#include "posthatch/control/client/leader_client.h"
#include "posthatch/control/client/leader_locator.h"
#include "posthatch/control/inventory/inventory_poller.h"
#include "posthatch/control/server/in_force_waiters.h"
#include "posthatch/control/server/leader_lease_guard.h"
#include "posthatch/control/server/session_table.h"
#include "posthatch/control/state/control_state.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::control {

class ControllerMetrics;

struct ControllerServiceOptions {
  runtime::Duration session_lease = std::chrono::seconds(4);
  // How much longer than a lease a new leader waits before it relies on the ends of sessions that a
  // former leader granted.
  double clock_rate_margin = 0.02;
  InventoryPollerOptions inventory;
  // Proposals under way at this controller, those waiting to come into force included; beyond, new
  // ones are answered OVERLOADED.
  size_t max_proposals = 2048;
  size_t max_queries = 256;
  // How often the worker leases are looked at.
  runtime::Duration plan_interval = std::chrono::milliseconds(250);
  // How long an unacknowledged push is waited for before it is sent again.
  runtime::Duration push_retry = std::chrono::milliseconds(250);
  // Pushes sent on average at the most: with many sessions, changes wait for each other.
  double pushes_per_second = 4000;
  LeaderClientOptions client;
  // Internal endpoints of the other controllers, for as long as the log knows no leader.
  LeaderLocator::Endpoints controllers;
  // Body of GET /admin/v1/controllers; may be empty.
  std::function<std::string()> controllers_view;
  // Adds to each reading of the inventory what the leader knows besides; may be empty.
  std::function<void(Inventory*)> annotate_inventory;
  // Told after this service has taken or given up leadership; may be empty.
  std::function<void(bool is_leader, uint64_t term)> on_leadership;
};

// What a controller does for gateways and operators, besides the log itself. On the leader:
// sessions, grants, pushes, acknowledgements, worker leases, the inventory
// (docs/design-docs/configuration.md); on the others: names the leader. One per controller, on its
// event loop thread; it takes SERVICE_CONTROL of the runtime's transport, the log's leadership
// listener and the state's section listener. All that it is given outlives it.
class ControllerService {
 public:
  ControllerService(runtime::Runtime* runtime, ControllerServiceOptions options,
                    consensus::ReplicatedLog* log, LeaderLeaseGuard* guard, ControlState* state);
  ~ControllerService();
  ControllerService(const ControllerService&) = delete;
  ControllerService& operator=(const ControllerService&) = delete;

  // This controller's own way to the leader (itself perhaps), for its operators' interface.
  LeaderClient* client() { return &client_; }
  // True if this controller leads and has applied all that earlier leaders acknowledged.
  bool leading() const { return leading_; }
  size_t session_count() const { return sessions_.sessions().size(); }
  // Publishes the last reading of the inventory again, with new annotations.
  void RefreshInventory();

 private:
  struct Sender {
    std::string endpoint;
    uint64_t incarnation = 0;
  };
  // Sender's endpoint and incarnation, request id, until_in_force.
  using ProposalKey = std::tuple<std::string, uint64_t, std::string, bool>;

  void OnLeadership(bool is_leader, uint64_t term);
  void OnMessage(const Sender& sender, const ControlMessage& message);
  bool HasLeaderLease() const;

  // Sessions.
  void OnRenewal(const Sender& sender, const SessionRenewal& renewal);
  void SendGrant(const SessionRenewal& renewal, runtime::Duration lease,
                 const std::string& endpoint, Session* session);
  void OnPushAck(const StatePushAck& ack);
  void SchedulePush();
  void SendPushes();
  uint32_t InventoryAgeMs() const;

  // Proposals and queries.
  void OnProposeRequest(const Sender& sender, const ProposeRequest& request);
  void StampControlTime(Command* command) const;
  void OnProposalDone(const ProposalKey& key, const absl::StatusOr<std::string>& answer);
  void WaitUntilInForce(const ProposalKey& key, const CommandResult& result);
  void SendProposeResponse(const ProposalKey& key, ProposeResponse response);
  void ScheduleAckCheck(runtime::Duration delay);
  void CheckInForceWaiters();
  void OnQueryRequest(const Sender& sender, const QueryRequest& request);
  void RespondToQuery(const std::string& endpoint, const QueryRequest& request);
  void RejectQuery(const std::string& endpoint, uint64_t call);

  // The leader's own decisions.
  void PlanWorkerLeases();
  void OnInventoryRead(Inventory inventory, runtime::MonotonicTime requested_at);
  void ProposeInternal(const Command& command, std::function<void(bool applied)> done);

  void Send(const std::string& endpoint, const ControlMessage& message);
  // Replaces whole sections of `changed` by differences from the receiver's, where they are known.
  void EncodeAsDeltas(const SectionIndices& acked_versions, FleetState* changed) const;

  runtime::Runtime* const runtime_;
  const ControllerServiceOptions options_;
  consensus::ReplicatedLog* const log_;
  LeaderLeaseGuard* const leader_lease_guard_;
  ControlState* const state_;
  // Callbacks that may outlive this object hold a weak pointer to it.
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  LeaderLocator locator_;
  LeaderClient client_;
  InventoryPoller inventory_poller_;
  const std::unique_ptr<ControllerMetrics> metrics_;

  bool leading_ = false;
  uint64_t term_ = 0;
  runtime::MonotonicTime leading_since_;
  // From here on no session of a former leader is left.
  runtime::MonotonicTime previous_leases_expire_at_;
  int64_t control_time_base_ms_ = 0;
  SessionTable sessions_;
  InForceWaiters waiters_;
  std::map<ProposalKey, uint64_t> pending_proposals_;  // the newest call of each, which is answered
  uint64_t anonymous_proposal_count_ = 0;              // tells apart proposals without request id
  size_t pending_queries_ = 0;
  uint64_t last_push_id_ = 0;
  runtime::MonotonicTime next_push_;  // by the bound of pushes a second
  bool plan_in_flight_ = false;
  bool inventory_proposal_in_flight_ = false;
  bool inventory_known_ = false;
  Inventory last_reading_;  // as the platform told it
  runtime::MonotonicTime last_reading_requested_at_;
  runtime::Timer refresh_timer_;
  bool refresh_pending_ = false;  // annotations changed while a reading was under way
  runtime::MonotonicTime inventory_requested_at_;
  runtime::Timer push_timer_;
  runtime::Timer check_timer_;
  runtime::Timer plan_timer_;
};

}  // namespace posthatch::control
