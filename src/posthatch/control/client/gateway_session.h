#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "posthatch/control/client/control_client.h"
#include "posthatch/control/client/fleet_state_replica.h"
#include "posthatch/control/client/gateway_session_metrics.h"
#include "posthatch/control/client/leader_client.h"
#include "posthatch/control/client/leader_contact.h"
#include "posthatch/control/client/leader_locator.h"
#include "posthatch/control/client/session_lease.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::control {

struct GatewaySessionOptions {
  std::string zone;
  // Time from the sending of a granted renewal to the sending of the next one.
  runtime::Duration renew_interval = std::chrono::seconds(1);
  // Time between renewals while one has no response, or there is no lease.
  runtime::Duration retry_interval = std::chrono::milliseconds(250);
  // Time between renewals before the first lease; shorter, since nothing can be served without a
  // configuration.
  runtime::Duration first_retry_interval = std::chrono::milliseconds(80);
  // Fraction by which a granted lease is shortened: clocks may run at different rates.
  double clock_rate_margin = 0.02;
  LeaderClientOptions client;
};

// A gateway's side of the control plane (docs/DESIGN.md, "The session lease"): renews the session
// lease, applies the sections that the leader sends, and sends commands and queries to the leader.
// One per gateway, on its event loop thread. Receives SERVICE_CONTROL of the runtime's transport.
class GatewaySession : public FleetView, public ControlClient, public QueryClient {
 public:
  // `controllers` returns the internal endpoints of the known controllers. Sends the first renewal
  // at once.
  GatewaySession(runtime::Runtime* runtime, GatewaySessionOptions options,
                 LeaderLocator::Endpoints controllers);
  ~GatewaySession() override;
  GatewaySession(const GatewaySession&) = delete;
  GatewaySession& operator=(const GatewaySession&) = delete;

  // FleetView.
  bool LeaseValid() const override { return lease_.Valid(runtime_->clock->Now()); }
  runtime::MonotonicTime lease_expiry() const override { return lease_.expiry(); }
  const FleetState& state() const override { return replica_.state(); }
  // kUnknownAge before the first grant of a leader that has read the inventory.
  runtime::Duration InventoryAge() const override;
  const RevisionTimeline& revision_timeline() const override { return revision_timeline_; }
  void AddListener(Listener listener) override { replica_.AddListener(std::move(listener)); }

  // ControlClient, QueryClient.
  void Propose(Command command, runtime::Duration timeout, bool until_in_force,
               ProposeDone done) override;
  void Query(std::string name, std::string argument, runtime::Duration timeout,
             QueryDone done) override;

  // Whether this gateway holds the worker's lease, under a valid session; sets the fencing token
  // that goes with every command to the worker. To be called right before each command is sent.
  bool HasLeaseOnWorker(const std::string& worker_id, uint64_t* fencing_token) const;

  // Internal endpoint of the leader that granted the lease; empty without a valid lease.
  std::string leader_endpoint() const { return LeaseValid() ? leader_endpoint_ : std::string(); }

  // Gives up the lease at once and notifies the leader, which needn't wait for its expiry then.
  void Leave();

  static constexpr runtime::Duration kUnknownAge = std::chrono::hours(1);

 private:
  using UpdateOutcome = FleetStateReplica::UpdateOutcome;

  void Renew();
  void ScheduleRenewal(runtime::Duration delay);
  SessionRenewal MakeRenewal(uint64_t number, bool leaving) const;
  void OnEnvelope(const runtime::Envelope& envelope);
  void OnGrant(const std::string& from_endpoint, const SessionGrant& grant);
  // Whether the grant is for this incarnation, plausible, and not from a deposed leader.
  bool IsAcceptable(const SessionGrant& grant) const;
  void ExtendLease(const std::string& from_endpoint, const SessionGrant& grant,
                   runtime::MonotonicTime sent_at);
  void OnPush(const std::string& from_endpoint, const StatePush& push);
  void OnLeaderHint(const std::string& from_endpoint, const std::string& hint);
  void Acknowledge(const std::string& endpoint, uint64_t push);
  void Send(const std::string& endpoint, const ControlMessage& message);

  runtime::Runtime* const runtime_;
  const GatewaySessionOptions options_;
  GatewaySessionMetrics metrics_;
  LeaderContact leader_contact_;
  LeaderLocator locator_;
  LeaderClient client_;
  FleetStateReplica replica_;
  RevisionTimeline revision_timeline_;
  SessionLease lease_;
  runtime::Timer renew_timer_;

  uint64_t term_ = 0;             // highest term of a grant
  uint64_t granted_term_ = 0;     // term of the newest applied grant
  uint64_t granted_renewal_ = 0;  // renewal that the newest applied grant responds to
  std::string leader_endpoint_;
  std::string renewal_target_;  // endpoint that the last renewal was sent to
  // When the inventory in state() was requested from the platform, at the earliest.
  std::optional<runtime::MonotonicTime> inventory_requested_at_;
};

}  // namespace posthatch::control
