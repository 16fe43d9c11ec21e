#include "posthatch/control/server/controller_service.h"

#include <algorithm>
#include <utility>

#include "absl/status/status.h"
#include "posthatch/control/server/controller_metrics.h"
#include "posthatch/control/server/state_views.h"
#include "posthatch/control/server/worker_lease_planner.h"
#include "posthatch/control/state/fingerprint.h"

namespace posthatch::control {
namespace {

// Changes that come close together go out in one push.
constexpr runtime::Duration kPushDelay = std::chrono::milliseconds(1);
// Waiting changes are looked at this long after an acknowledgement, and this often in any case.
constexpr runtime::Duration kAckCheckDelay = std::chrono::milliseconds(1);
constexpr runtime::Duration kAckCheckInterval = std::chrono::milliseconds(50);
constexpr runtime::Duration kAnnotationRefreshDelay = std::chrono::milliseconds(40);
constexpr uint32_t kInventoryNeverRead = UINT32_MAX;
constexpr int kStatusUnavailable = 503;

runtime::Duration Scaled(runtime::Duration duration, double factor) {
  return std::chrono::duration_cast<runtime::Duration>(duration * factor);
}

}  // namespace

ControllerService::ControllerService(runtime::Runtime* runtime, ControllerServiceOptions options,
                                     consensus::ReplicatedLog* log, LeaderLeaseGuard* guard,
                                     ControlState* state)
    : runtime_(runtime),
      options_(std::move(options)),
      log_(log),
      leader_lease_guard_(guard),
      state_(state),
      locator_(runtime,
               [this] {
                 const std::string leader = log_->leader_endpoint();
                 if (!leader.empty()) return std::vector<std::string>{leader};
                 return options_.controllers ? options_.controllers() : std::vector<std::string>();
               }),
      client_(runtime, options_.client, &locator_,
              [this](const std::string& endpoint, const ControlMessage& message) {
                Send(endpoint, message);
              }),
      inventory_poller_(runtime, options_.inventory,
                        [this](Inventory inventory, runtime::MonotonicTime requested_at) {
                          OnInventoryRead(std::move(inventory), requested_at);
                        }),
      metrics_(std::make_unique<ControllerMetrics>(runtime->metrics)),
      refresh_timer_(runtime->timers),
      push_timer_(runtime->timers),
      check_timer_(runtime->timers),
      plan_timer_(runtime->timers) {
  runtime_->transport->SetReceiver(
      runtime::SERVICE_CONTROL, [this](const runtime::Envelope& envelope) {
        ControlMessage message;
        if (!message.ParseFromString(envelope.payload())) return;
        OnMessage({envelope.from_endpoint(), envelope.from_incarnation()}, message);
      });
  log_->SetLeadershipListener(
      [this](bool is_leader, uint64_t term) { OnLeadership(is_leader, term); });
  state_->SetSectionListener([this] { SchedulePush(); });
}

ControllerService::~ControllerService() {
  runtime_->transport->SetReceiver(runtime::SERVICE_CONTROL, [](const runtime::Envelope&) {});
  log_->SetLeadershipListener([](bool, uint64_t) {});
  state_->SetSectionListener({});
}

void ControllerService::OnLeadership(bool is_leader, uint64_t term) {
  leading_ = is_leader;
  term_ = term;
  sessions_.Clear();
  waiters_.FailAll();
  plan_in_flight_ = false;
  inventory_proposal_in_flight_ = false;
  inventory_known_ = false;
  metrics_->leading().Set(is_leader ? 1 : 0);
  metrics_->sessions().Set(0);
  last_reading_.Clear();
  refresh_pending_ = false;
  if (!is_leader) {
    inventory_poller_.Stop();
    plan_timer_.Cancel();
    if (options_.on_leadership) options_.on_leadership(false, term);
    return;
  }
  leading_since_ = runtime_->clock->Now();
  previous_leases_expire_at_ =
      leading_since_ + Scaled(options_.session_lease, 1.0 + options_.clock_rate_margin);
  control_time_base_ms_ = state_->delivery_now_ms();
  inventory_poller_.Start();
  plan_timer_.Start(options_.plan_interval, [this] { PlanWorkerLeases(); });
  if (options_.on_leadership) options_.on_leadership(true, term);
  runtime_->trace->Event(runtime::Severity::kInfo, "ControllerLeadershipAcquired",
                         {{"term", term}});
}

void ControllerService::OnMessage(const Sender& sender, const ControlMessage& message) {
  switch (message.message_case()) {
    case ControlMessage::kSessionRenewal:
      OnRenewal(sender, message.session_renewal());
      break;
    case ControlMessage::kStatePushAck:
      OnPushAck(message.state_push_ack());
      break;
    case ControlMessage::kProposeRequest:
      OnProposeRequest(sender, message.propose_request());
      break;
    case ControlMessage::kQueryRequest:
      OnQueryRequest(sender, message.query_request());
      break;
    case ControlMessage::kProposeResponse:
      client_.OnProposeResponse(sender.endpoint, message.propose_response());
      break;
    case ControlMessage::kQueryResponse:
      client_.OnQueryResponse(sender.endpoint, message.query_response());
      break;
    default:
      break;
  }
}

bool ControllerService::HasLeaderLease() const {
  return leading_ && log_->IsLeader() && leader_lease_guard_->HasLeaderLease();
}

void ControllerService::OnRenewal(const Sender& sender, const SessionRenewal& renewal) {
  if (!leading_ || !log_->IsLeader()) {
    ControlMessage message;
    message.set_leader_hint(log_->leader_endpoint());
    Send(sender.endpoint, message);
    return;
  }
  const SessionKey key{renewal.gateway(), renewal.incarnation()};
  if (renewal.leaving()) {
    sessions_.End(key);
    ScheduleAckCheck(kAckCheckDelay);
    return;
  }
  if (!HasLeaderLease()) {
    metrics_->grants_denied_no_lease().Increment();
    return;
  }
  if (!renewal.rejection().empty()) {
    // It may not decide by the old configuration for longer, but a newer one may mend it.
    runtime_->trace->Event(runtime::Severity::kError, "ConfigurationRejectedByGateway",
                           {{"gateway", renewal.gateway()}, {"error", renewal.rejection()}});
    SendGrant(renewal, runtime::Duration::zero(), sender.endpoint, nullptr);
    return;
  }
  Session* session =
      sessions_.Renew(renewal, sender.endpoint, runtime_->clock->Now(), options_.session_lease,
                      HighestIndex(IndicesOf(state_->fleet())), term_);
  if (session == nullptr) return;
  SendGrant(renewal, options_.session_lease, sender.endpoint, session);
  metrics_->grants().Increment();
  metrics_->sessions().Set(static_cast<double>(sessions_.sessions().size()));
  if (waiters_.size() > 0) ScheduleAckCheck(kAckCheckDelay);
}

void ControllerService::SendGrant(const SessionRenewal& renewal, runtime::Duration lease,
                                  const std::string& endpoint, Session* session) {
  ControlMessage message;
  SessionGrant* grant = message.mutable_session_grant();
  grant->set_renewal(renewal.renewal());
  grant->set_incarnation(renewal.incarnation());
  grant->set_term(term_);
  grant->set_lease_ms(
      static_cast<uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(lease).count()));
  grant->set_inventory_age_ms(InventoryAgeMs());
  CopyNewerSections(state_->fleet(), IndicesOf(renewal), grant->mutable_changed(),
                    grant->mutable_changed_sections());
  EncodeAsDeltas(IndicesOf(renewal), grant->mutable_changed());
  if (session != nullptr) {
    session->sent_index = HighestIndex(IndicesOf(state_->fleet()));
    session->sent_at = runtime_->clock->Now();
  }
  Send(endpoint, message);
}

void ControllerService::OnPushAck(const StatePushAck& ack) {
  if (!leading_) return;
  const SessionKey key{ack.gateway(), ack.incarnation()};
  sessions_.Acknowledge(key, IndicesOf(ack));
  Session* session = sessions_.Find(key);
  if (session != nullptr &&
      HighestIndex(session->acked_versions) < HighestIndex(IndicesOf(state_->fleet()))) {
    session->sent_index = 0;  // changed again meanwhile: the next push is made from what it has now
    SchedulePush();
  }
  if (waiters_.size() > 0) ScheduleAckCheck(kAckCheckDelay);
}

void ControllerService::SchedulePush() {
  if (!leading_ || push_timer_.running()) return;
  const runtime::Duration until_allowed = next_push_ - runtime_->clock->Now();
  push_timer_.Start(std::max(kPushDelay, until_allowed), [this] { SendPushes(); });
}

void ControllerService::SendPushes() {
  if (!leading_) return;
  const runtime::MonotonicTime now = runtime_->clock->Now();
  const FleetState& fleet = state_->fleet();
  const uint64_t newest = HighestIndex(IndicesOf(fleet));
  // Most sessions lack the same sections: each message is made and serialized once.
  std::map<SectionIndices, std::string> payloads;
  double sent = 0;
  ++last_push_id_;
  for (auto& [key, session] : sessions_.mutable_sessions()) {
    if (session.expiry <= now || HighestIndex(session.acked_versions) >= newest) continue;
    // One push at a time: a second one would be made from sections that the first has replaced.
    const bool push_in_flight = session.sent_index > HighestIndex(session.acked_versions) &&
                                now - session.sent_at < options_.push_retry;
    if (push_in_flight) continue;
    std::string& payload = payloads[session.acked_versions];
    if (payload.empty()) {
      ControlMessage message;
      StatePush* push = message.mutable_state_push();
      push->set_push(last_push_id_);
      push->set_term(term_);
      push->set_inventory_age_ms(InventoryAgeMs());
      CopyNewerSections(fleet, session.acked_versions, push->mutable_changed(),
                        push->mutable_changed_sections());
      EncodeAsDeltas(session.acked_versions, push->mutable_changed());
      payload = SerializeDeterministically(message);
    }
    session.sent_index = newest;
    session.sent_at = now;
    ++sent;
    metrics_->pushes().Increment();
    runtime_->transport->Send(session.endpoint, runtime::SERVICE_CONTROL, payload,
                              runtime::Delivery::kStream);
  }
  next_push_ = now + std::chrono::duration_cast<runtime::Duration>(
                         std::chrono::duration<double>(sent / options_.pushes_per_second));
}

void ControllerService::EncodeAsDeltas(const SectionIndices& acked_versions,
                                       FleetState* changed) const {
  EncodeConfigurationDelta(state_->history(), IndexOf(acked_versions, Section::kConfiguration),
                           changed);
  state_->deltas().EncodeInventoryDelta(IndexOf(acked_versions, Section::kInventory), changed);
  state_->deltas().EncodeTrafficDelta(IndexOf(acked_versions, Section::kTraffic), changed);
}

uint32_t ControllerService::InventoryAgeMs() const {
  if (!inventory_known_) return kInventoryNeverRead;
  return static_cast<uint32_t>(
      runtime::ToMilliseconds(runtime_->clock->Now() - inventory_requested_at_));
}

void ControllerService::OnProposeRequest(const Sender& sender, const ProposeRequest& request) {
  ProposalKey key(sender.endpoint, sender.incarnation, request.command().request_id(),
                  request.until_in_force());
  if (request.command().request_id().empty()) {
    std::get<2>(key) = "\n" + std::to_string(++anonymous_proposal_count_);
  }
  const auto in_flight = pending_proposals_.find(key);
  if (in_flight != pending_proposals_.end()) {
    in_flight->second = request.call();  // sent again: the newest call is answered
    return;
  }
  ProposeResponse refusal;
  refusal.set_call(request.call());
  if (!leading_ || !log_->IsLeader()) {
    refusal.set_status(ProposeResponse::NOT_LEADER);
    refusal.set_leader_endpoint(log_->leader_endpoint());
  } else if (pending_proposals_.size() >= options_.max_proposals) {
    metrics_->overloaded().Increment();
    refusal.set_status(ProposeResponse::OVERLOADED);
  }
  if (refusal.status() != ProposeResponse::STATUS_UNSPECIFIED) {
    ControlMessage message;
    *message.mutable_propose_response() = std::move(refusal);
    Send(sender.endpoint, message);
    return;
  }
  pending_proposals_[key] = request.call();
  Command command = request.command();
  StampControlTime(&command);
  log_->Propose(
      SerializeDeterministically(command),
      [this, key, alive = std::weak_ptr<bool>(alive_)](const absl::StatusOr<std::string>& answer) {
        if (!alive.expired()) OnProposalDone(key, answer);
      });
}

void ControllerService::StampControlTime(Command* command) const {
  const auto led_for = std::chrono::duration_cast<std::chrono::milliseconds>(
      runtime_->clock->Now() - leading_since_);
  const int64_t now_ms = control_time_base_ms_ + led_for.count();
  if (command->has_delivery_begin()) command->mutable_delivery_begin()->set_now_ms(now_ms);
  if (command->has_delivery_finish()) command->mutable_delivery_finish()->set_now_ms(now_ms);
}

void ControllerService::OnProposalDone(const ProposalKey& key,
                                       const absl::StatusOr<std::string>& answer) {
  ProposeResponse response;
  if (!answer.ok()) {
    response.set_leader_endpoint(log_->leader_endpoint());
    switch (answer.status().code()) {
      case absl::StatusCode::kFailedPrecondition:
        response.set_status(ProposeResponse::NOT_LEADER);
        break;
      case absl::StatusCode::kResourceExhausted:
        metrics_->overloaded().Increment();
        response.set_status(ProposeResponse::OVERLOADED);
        break;
      default:
        response.set_status(ProposeResponse::UNCERTAIN);
    }
    SendProposeResponse(key, std::move(response));
    return;
  }
  CommandResult* result = response.mutable_result();
  if (!result->ParseFromString(*answer)) {
    response.set_status(ProposeResponse::UNCERTAIN);
    SendProposeResponse(key, std::move(response));
    return;
  }
  if (std::get<bool>(key) && result->code() == CommandResult::OK) {
    WaitUntilInForce(key, *result);
    return;
  }
  response.set_status(ProposeResponse::DONE);
  SendProposeResponse(key, std::move(response));
}

void ControllerService::WaitUntilInForce(const ProposalKey& key, const CommandResult& result) {
  if (!leading_) {
    ProposeResponse response;
    response.set_status(ProposeResponse::UNCERTAIN);
    SendProposeResponse(key, std::move(response));
    return;
  }
  const runtime::MonotonicTime committed_at = runtime_->clock->Now();
  waiters_.Add(result.log_index(), [this, key, result, committed_at](bool in_force) {
    ProposeResponse response;
    if (in_force) {
      *response.mutable_result() = result;
      const runtime::Duration waited = runtime_->clock->Now() - committed_at;
      metrics_->in_force_seconds().Observe(std::chrono::duration<double>(waited).count());
    }
    response.set_status(in_force ? ProposeResponse::DONE : ProposeResponse::UNCERTAIN);
    SendProposeResponse(key, std::move(response));
  });
  ScheduleAckCheck(kAckCheckDelay);
}

void ControllerService::SendProposeResponse(const ProposalKey& key, ProposeResponse response) {
  const auto proposal = pending_proposals_.find(key);
  if (proposal == pending_proposals_.end()) return;
  response.set_call(proposal->second);
  pending_proposals_.erase(proposal);
  ControlMessage message;
  *message.mutable_propose_response() = std::move(response);
  Send(std::get<0>(key), message);
}

void ControllerService::ScheduleAckCheck(runtime::Duration delay) {
  check_timer_.Start(delay, [this] { CheckInForceWaiters(); });
}

void ControllerService::CheckInForceWaiters() {
  const runtime::MonotonicTime now = runtime_->clock->Now();
  // Before, gateways may hold leases of a former leader that this one doesn't know.
  if (now >= previous_leases_expire_at_) waiters_.Check(sessions_, now);
  if (waiters_.size() == 0) return;
  SendPushes();
  ScheduleAckCheck(kAckCheckInterval);
}

void ControllerService::OnQueryRequest(const Sender& sender, const QueryRequest& request) {
  if (!leading_ || pending_queries_ >= options_.max_queries) {
    if (leading_) metrics_->overloaded().Increment();
    RejectQuery(sender.endpoint, request.call());
    return;
  }
  ++pending_queries_;
  log_->ReadBarrier([this, endpoint = sender.endpoint, request,
                     alive = std::weak_ptr<bool>(alive_)](const absl::Status& status) {
    if (alive.expired()) return;
    --pending_queries_;
    if (status.ok()) {
      RespondToQuery(endpoint, request);
    } else {
      RejectQuery(endpoint, request.call());
    }
  });
}

void ControllerService::RespondToQuery(const std::string& endpoint, const QueryRequest& request) {
  View view;
  ControlMessage message;
  QueryResponse* response = message.mutable_query_response();
  if (request.name() == "traffic") {
    response->set_payload(SerializeDeterministically(state_->traffic()));
  } else if (request.name() == "controllers" && options_.controllers_view) {
    view.json = options_.controllers_view();
  } else {
    view = RenderView(request.name(), request.argument(), *state_);
  }
  response->set_call(request.call());
  response->set_http_status(static_cast<uint32_t>(view.http_status));
  response->set_json(std::move(view.json));
  Send(endpoint, message);
}

void ControllerService::RejectQuery(const std::string& endpoint, uint64_t call) {
  ControlMessage message;
  QueryResponse* response = message.mutable_query_response();
  response->set_call(call);
  response->set_http_status(kStatusUnavailable);
  response->set_not_leader(true);
  response->set_leader_endpoint(log_->leader_endpoint());
  Send(endpoint, message);
}

void ControllerService::PlanWorkerLeases() {
  plan_timer_.Start(options_.plan_interval, [this] { PlanWorkerLeases(); });
  const runtime::MonotonicTime now = runtime_->clock->Now();
  if (!HasLeaderLease() || plan_in_flight_) return;
  sessions_.RemoveExpired(now);
  metrics_->sessions().Set(static_cast<double>(sessions_.sessions().size()));
  Command command;
  GrantWorkerLeases& plan = *command.mutable_grant_worker_leases();
  plan = WorkerLeasePlanner::PlanForRestartedGateways(state_->fleet(), sessions_);
  if (plan.grants().empty()) {
    // Gateways that this leader hasn't heard of may hold leases of a former one. A worker that was
    // released is granted again only once no gateway can believe that it holds it.
    const bool may_plan = now >= previous_leases_expire_at_ &&
                          sessions_.AckedByAllSessions(state_->fleet().leases_index(), now);
    if (!may_plan) return;
    plan = WorkerLeasePlanner::Plan(state_->fleet(), sessions_.sessions(), now);
  }
  if (plan.grants().empty() && plan.released().empty()) return;
  plan_in_flight_ = true;
  ProposeInternal(command, [this](bool) { plan_in_flight_ = false; });
}

void ControllerService::RefreshInventory() {
  if (last_reading_.backends().empty() || refresh_timer_.running()) return;
  if (inventory_proposal_in_flight_) {
    refresh_pending_ = true;
    return;
  }
  // Annotations that change close together go into one command.
  refresh_timer_.Start(kAnnotationRefreshDelay, [this] {
    if (leading_) OnInventoryRead(last_reading_, last_reading_requested_at_);
  });
}

void ControllerService::OnInventoryRead(Inventory inventory, runtime::MonotonicTime requested_at) {
  if (!HasLeaderLease()) return;
  last_reading_ = inventory;
  last_reading_requested_at_ = requested_at;
  if (options_.annotate_inventory) options_.annotate_inventory(&inventory);
  if (SameBackends(inventory, state_->fleet().inventory())) {
    inventory_known_ = true;
    inventory_requested_at_ = requested_at;
    return;
  }
  if (inventory_proposal_in_flight_) return;
  inventory_proposal_in_flight_ = true;
  Command command;
  *command.mutable_set_inventory()->mutable_change() =
      ComputeDelta(state_->fleet().inventory(), inventory);
  command.mutable_set_inventory()->set_base_version(state_->fleet().inventory().version());
  ProposeInternal(command, [this, requested_at](bool applied) {
    inventory_proposal_in_flight_ = false;
    if (applied) {
      inventory_known_ = true;
      inventory_requested_at_ = requested_at;
    }
    if (std::exchange(refresh_pending_, false)) RefreshInventory();
  });
}

void ControllerService::ProposeInternal(const Command& command,
                                        std::function<void(bool applied)> done) {
  log_->Propose(
      SerializeDeterministically(command),
      [this, term = term_, done = std::move(done),
       alive = std::weak_ptr<bool>(alive_)](const absl::StatusOr<std::string>& answer) {
        if (alive.expired() || !leading_ || term != term_) return;
        CommandResult result;
        done(answer.ok() && result.ParseFromString(*answer) && result.code() == CommandResult::OK);
      });
}

void ControllerService::Send(const std::string& endpoint, const ControlMessage& message) {
  if (endpoint != runtime_->transport->endpoint()) {
    runtime_->transport->Send(endpoint, runtime::SERVICE_CONTROL,
                              SerializeDeterministically(message), runtime::Delivery::kStream);
    return;
  }
  // To itself: the own client asks the own service.
  runtime_->timers->Schedule(
      runtime::Duration::zero(), [this, message, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.expired()) return;
        OnMessage({runtime_->transport->endpoint(), runtime_->transport->incarnation()}, message);
      });
}

}  // namespace posthatch::control
