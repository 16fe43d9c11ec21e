#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "posthatch/control/client/control_client.h"
#include "posthatch/control/client/leader_client.h"
#include "posthatch/control/client/leader_locator.h"
#include "posthatch/runtime/runtime.h"

namespace prometheus {
class Counter;
class Gauge;
}  // namespace prometheus

namespace posthatch::control {

struct GatewaySessionOptions {
  std::string zone;
  runtime::Duration renew_interval = std::chrono::seconds(1);
  // While a renewal is unanswered or there is no lease.
  runtime::Duration retry_interval = std::chrono::milliseconds(250);
  // The same before the first lease: without a configuration nothing can be served.
  runtime::Duration first_retry_interval = std::chrono::milliseconds(80);
  // Taken off a granted lease, for clocks that run at different rates.
  double clock_rate_margin = 0.02;
  LeaderClientOptions client;
};

// A gateway's side of the control plane (docs/DESIGN.md, "The session lease"): keeps the session
// lease, puts the sections that the leader sends into force, and brings commands and queries to the
// leader. Sections never go back. One per gateway, on its event loop thread; it takes
// SERVICE_CONTROL of the runtime's transport.
class GatewaySession : public FleetView, public ControlClient, public QueryClient {
 public:
  // `controllers` gives the internal endpoints of the controllers believed to exist. Starts to
  // renew at once.
  GatewaySession(runtime::Runtime* runtime, GatewaySessionOptions options,
                 LeaderLocator::Endpoints controllers);
  ~GatewaySession() override;
  GatewaySession(const GatewaySession&) = delete;
  GatewaySession& operator=(const GatewaySession&) = delete;

  // FleetView.
  bool LeaseValid() const override;
  runtime::MonotonicTime lease_expiry() const override { return lease_expiry_; }
  const FleetState& state() const override { return state_; }
  runtime::Duration InventoryAge() const override;
  void AddListener(Listener listener) override { listeners_.push_back(std::move(listener)); }

  // ControlClient, QueryClient.
  void Propose(Command command, runtime::Duration timeout, bool until_in_force,
               ProposeDone done) override;
  void Query(std::string name, std::string argument, runtime::Duration timeout,
             QueryDone done) override;

  // True while this gateway holds the worker's lease and its session; sets the fencing token, which
  // goes with every order. To be asked at the last step before each order.
  bool HoldsWorker(const std::string& worker_id, uint64_t* fencing_token) const;

  // Internal endpoint of the leader that granted the lease; empty without a valid lease.
  std::string leader_endpoint() const { return LeaseValid() ? leader_endpoint_ : std::string(); }

  // Gives up the lease at once and tells the leader, which needn't wait for its end then.
  void Leave();

  static constexpr runtime::Duration kUnknownAge = std::chrono::hours(1);

 private:
  void OnEnvelope(const runtime::Envelope& envelope);
  void OnGrant(const std::string& from_endpoint, const SessionGrant& grant);
  void OnPush(const std::string& from_endpoint, const StatePush& push);
  void OnLeaderHint(const std::string& from_endpoint, const std::string& hint);
  enum class UpdateOutcome {
    kUnchanged,
    kChanged,
    kRejected,      // the configuration can't be used: nothing was applied
    kBaseMismatch,  // it is a patch for another configuration than ours: nothing was applied
  };
  // Puts newer sections in force.
  UpdateOutcome ApplyUpdate(FleetState changed,
                            const google::protobuf::RepeatedPtrField<std::string>& names);
  void Acknowledge(const std::string& endpoint, uint64_t push);
  void Renew();
  void ScheduleRenewal();
  SessionRenewal MakeRenewal(bool leaving) const;
  void Send(const std::string& endpoint, const ControlMessage& message);
  void NotifyListeners();

  runtime::Runtime* const runtime_;
  const GatewaySessionOptions options_;
  LeaderLocator locator_;
  LeaderClient client_;
  runtime::Timer renew_timer_;

  FleetState state_;
  runtime::MonotonicTime lease_expiry_;
  bool has_lease_ = false;  // a lease was ever granted and not given up
  bool has_left_ = false;
  uint64_t term_ = 0;  // newest leader's term
  uint64_t renewal_ = 0;
  std::map<uint64_t, runtime::MonotonicTime> pending_renewals_;  // renewal -> when it was sent
  uint64_t acked_renewal_ = 0;
  uint64_t granted_term_ = 0;  // of the newest grant, and the renewal that it answered
  uint64_t granted_renewal_ = 0;
  std::string leader_endpoint_;
  std::string renewal_target_;  // where the last renewal went
  std::string rejection_;
  bool inventory_known_ = false;
  runtime::MonotonicTime inventory_requested_at_;
  std::vector<Listener> listeners_;

  prometheus::Counter* renewals_counter_ = nullptr;
  prometheus::Counter* grants_counter_ = nullptr;
  prometheus::Counter* rejections_counter_ = nullptr;
  prometheus::Gauge* version_gauge_ = nullptr;
};

}  // namespace posthatch::control
