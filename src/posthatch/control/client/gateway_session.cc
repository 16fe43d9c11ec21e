#include "posthatch/control/client/gateway_session.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>

#include <algorithm>
#include <utility>

#include "posthatch/control/state/configuration_validator.h"
#include "posthatch/control/state/fingerprint.h"
#include "posthatch/control/state/fleet_sections.h"
#include "posthatch/control/state/section_deltas.h"

namespace posthatch::control {
namespace {

// Renewals whose answers are still of use.
constexpr size_t kMaxPendingRenewals = 32;
// A lease longer than this is a damaged message.
constexpr uint32_t kMaxLeaseMs = 60000;
constexpr runtime::Duration kPromptRenewalDelay = std::chrono::milliseconds(5);
constexpr uint32_t kInventoryNeverRead = UINT32_MAX;

prometheus::Counter* AddCounter(prometheus::Registry* registry, const char* name,
                                const char* help) {
  return &prometheus::BuildCounter().Name(name).Help(help).Register(*registry).Add({});
}

}  // namespace

GatewaySession::GatewaySession(runtime::Runtime* runtime, GatewaySessionOptions options,
                               LeaderLocator::Endpoints controllers)
    : runtime_(runtime),
      options_(std::move(options)),
      locator_(runtime, std::move(controllers)),
      client_(runtime, options_.client, &locator_,
              [this](const std::string& endpoint, const ControlMessage& message) {
                Send(endpoint, message);
              }),
      renew_timer_(runtime->timers) {
  if (runtime_->metrics != nullptr) {
    renewals_counter_ = AddCounter(runtime_->metrics, "posthatch_session_renewals_total",
                                   "Session renewals sent to controllers");
    grants_counter_ = AddCounter(runtime_->metrics, "posthatch_session_grants_total",
                                 "Session leases received from the leading controller");
    rejections_counter_ =
        AddCounter(runtime_->metrics, "posthatch_session_rejections_total",
                   "Configurations that this gateway refused to put in force (NACK)");
    version_gauge_ = &prometheus::BuildGauge()
                          .Name("posthatch_configuration_version")
                          .Help("Version of the configuration in force at this gateway")
                          .Register(*runtime_->metrics)
                          .Add({});
  }
  runtime_->transport->SetReceiver(
      runtime::SERVICE_CONTROL,
      [this](const runtime::Envelope& envelope) { OnEnvelope(envelope); });
  renew_timer_.Start(runtime::Duration::zero(), [this] { Renew(); });
}

GatewaySession::~GatewaySession() {
  runtime_->transport->SetReceiver(runtime::SERVICE_CONTROL, [](const runtime::Envelope&) {});
}

bool GatewaySession::LeaseValid() const {
  return has_lease_ && !has_left_ && runtime_->clock->Now() < lease_expiry_;
}

runtime::Duration GatewaySession::InventoryAge() const {
  return inventory_known_ ? runtime_->clock->Now() - inventory_requested_at_ : kUnknownAge;
}

void GatewaySession::Propose(Command command, runtime::Duration timeout, bool until_in_force,
                             ProposeDone done) {
  client_.Propose(std::move(command), timeout, until_in_force, std::move(done));
}

void GatewaySession::Query(std::string name, std::string argument, runtime::Duration timeout,
                           QueryDone done) {
  client_.Query(std::move(name), std::move(argument), timeout, std::move(done));
}

bool GatewaySession::HoldsWorker(const std::string& worker_id, uint64_t* fencing_token) const {
  if (!LeaseValid()) return false;
  const WorkerLease* lease = FindLease(state_, worker_id);
  if (lease == nullptr || lease->holder() != runtime_->transport->node_id() ||
      lease->holder_incarnation() != runtime_->transport->incarnation()) {
    return false;
  }
  *fencing_token = lease->fencing_token();
  return true;
}

void GatewaySession::Leave() {
  if (has_left_) return;
  has_left_ = true;
  has_lease_ = false;
  renew_timer_.Cancel();
  ++renewal_;
  ControlMessage message;
  *message.mutable_session_renewal() = MakeRenewal(true);
  const std::string target = locator_.Target();
  if (!target.empty()) Send(target, message);
}

void GatewaySession::Renew() {
  if (renewal_ > acked_renewal_) locator_.MarkUnavailable(renewal_target_);
  const std::string target = locator_.Target();
  if (!target.empty()) {
    pending_renewals_[++renewal_] = runtime_->clock->Now();
    while (pending_renewals_.size() > kMaxPendingRenewals)
      pending_renewals_.erase(pending_renewals_.begin());
    ControlMessage message;
    *message.mutable_session_renewal() = MakeRenewal(false);
    renewal_target_ = target;
    Send(target, message);
    if (renewals_counter_ != nullptr) renewals_counter_->Increment();
  }
  ScheduleRenewal();
}

void GatewaySession::ScheduleRenewal() {
  // Until the answer comes (OnGrant starts the timer anew), it is asked for again sooner.
  renew_timer_.Start(has_lease_ ? options_.retry_interval : options_.first_retry_interval,
                     [this] { Renew(); });
}

SessionRenewal GatewaySession::MakeRenewal(bool leaving) const {
  SessionRenewal renewal;
  renewal.set_gateway(runtime_->transport->node_id());
  renewal.set_incarnation(runtime_->transport->incarnation());
  renewal.set_renewal(renewal_);
  renewal.set_zone(options_.zone);
  SetIndices(IndicesOf(state_), &renewal);
  renewal.set_leaving(leaving);
  renewal.set_rejection(rejection_);
  renewal.set_granted_term(granted_term_);
  renewal.set_granted_renewal(granted_renewal_);
  return renewal;
}

void GatewaySession::OnEnvelope(const runtime::Envelope& envelope) {
  ControlMessage message;
  if (!message.ParseFromString(envelope.payload())) return;
  const std::string& from = envelope.from_endpoint();
  switch (message.message_case()) {
    case ControlMessage::kSessionGrant:
      OnGrant(from, message.session_grant());
      break;
    case ControlMessage::kStatePush:
      OnPush(from, message.state_push());
      break;
    case ControlMessage::kLeaderHint:
      OnLeaderHint(from, message.leader_hint());
      break;
    case ControlMessage::kProposeResponse:
      client_.OnProposeResponse(from, message.propose_response());
      break;
    case ControlMessage::kQueryResponse:
      client_.OnQueryResponse(from, message.query_response());
      break;
    default:
      break;
  }
}

void GatewaySession::OnGrant(const std::string& from_endpoint, const SessionGrant& grant) {
  if (has_left_) return;
  const auto sent = pending_renewals_.find(grant.renewal());
  if (sent == pending_renewals_.end() || grant.incarnation() != runtime_->transport->incarnation())
    return;
  if (grant.term() < term_ || grant.lease_ms() > kMaxLeaseMs) return;
  const runtime::MonotonicTime sent_at = sent->second;
  pending_renewals_.erase(pending_renewals_.begin(),
                          std::next(sent));  // older answers are of no more use
  term_ = grant.term();
  acked_renewal_ = renewal_;
  locator_.OnLeaderResponse(from_endpoint);
  const UpdateOutcome outcome = ApplyUpdate(grant.changed(), grant.changed_sections());
  if (outcome == UpdateOutcome::kBaseMismatch) {
    // A push came in between; the next renewal says what is in force now.
    renew_timer_.Start(kPromptRenewalDelay, [this] { Renew(); });
  }
  if (outcome == UpdateOutcome::kBaseMismatch || outcome == UpdateOutcome::kRejected) return;
  if (grant.inventory_age_ms() != kInventoryNeverRead) {
    // The leader wrote the age down after the renewal was sent, so the reading is not older.
    inventory_requested_at_ = sent_at - std::chrono::milliseconds(grant.inventory_age_ms());
    inventory_known_ = true;
  }
  const bool first_of_leader = granted_term_ != grant.term();
  granted_term_ = grant.term();
  granted_renewal_ = grant.renewal();
  leader_endpoint_ = from_endpoint;
  const auto lease = std::chrono::duration_cast<runtime::Duration>(
      std::chrono::milliseconds(grant.lease_ms()) * (1.0 - options_.clock_rate_margin));
  lease_expiry_ = std::max(lease_expiry_, sent_at + lease);
  has_lease_ = true;
  if (grants_counter_ != nullptr) grants_counter_->Increment();
  // A leader that hears that its first grant has come knows that earlier lives of this gateway are
  // over, and needn't wait for their leases.
  const runtime::Duration passed = runtime_->clock->Now() - sent_at;
  const runtime::Duration until_renewal = options_.renew_interval - passed;
  renew_timer_.Start(
      first_of_leader ? kPromptRenewalDelay : std::max(until_renewal, runtime::Duration::zero()),
      [this] { Renew(); });
  if (outcome == UpdateOutcome::kUnchanged) return;
  Acknowledge(from_endpoint, 0);
  NotifyListeners();
}

void GatewaySession::OnPush(const std::string& from_endpoint, const StatePush& push) {
  if (has_left_ || push.term() < term_) return;
  const UpdateOutcome outcome = ApplyUpdate(push.changed(), push.changed_sections());
  if (outcome == UpdateOutcome::kRejected) return;
  // Out of step it tells the leader what to make the next difference from.
  Acknowledge(from_endpoint, push.push());
  if (outcome == UpdateOutcome::kChanged) NotifyListeners();
}

void GatewaySession::OnLeaderHint(const std::string& from_endpoint, const std::string& hint) {
  if (hint.empty() || hint == from_endpoint) {
    locator_.MarkUnavailable(from_endpoint);
    return;  // the next renewal is due within the retry interval
  }
  if (hint == locator_.Target()) return;
  locator_.FollowHint(hint);
  if (has_left_) return;
  if (!LeaseValid() || renewal_ > acked_renewal_) {
    renew_timer_.Start(kPromptRenewalDelay, [this] { Renew(); });
  }
}

GatewaySession::UpdateOutcome GatewaySession::ApplyUpdate(
    FleetState changed, const google::protobuf::RepeatedPtrField<std::string>& names) {
  const bool reconstructed = ApplyConfigurationDelta(state_, &changed) &&
                             ApplyInventoryDelta(state_, &changed) &&
                             ApplyTrafficDelta(state_, &changed);
  if (!reconstructed) return UpdateOutcome::kBaseMismatch;
  const bool new_configuration = changed.configuration_index() > state_.configuration_index();
  if (new_configuration) {
    const std::vector<std::string> errors = ValidateConfiguration(changed.configuration());
    rejection_ = errors.empty() ? "" : errors.front();
    if (!rejection_.empty()) {
      if (rejections_counter_ != nullptr) rejections_counter_->Increment();
      runtime_->trace->Event(runtime::Severity::kError, "ConfigurationRejected",
                             {{"version", changed.configuration_version()}, {"error", rejection_}});
      return UpdateOutcome::kRejected;
    }
  }
  const bool any = ApplyNewerSections(changed, names, &state_);
  if (new_configuration && version_gauge_ != nullptr) {
    version_gauge_->Set(static_cast<double>(state_.configuration_version()));
  }
  return any ? UpdateOutcome::kChanged : UpdateOutcome::kUnchanged;
}

void GatewaySession::Acknowledge(const std::string& endpoint, uint64_t push) {
  ControlMessage message;
  StatePushAck* ack = message.mutable_state_push_ack();
  ack->set_push(push);
  ack->set_gateway(runtime_->transport->node_id());
  ack->set_incarnation(runtime_->transport->incarnation());
  SetIndices(IndicesOf(state_), ack);
  Send(endpoint, message);
}

void GatewaySession::NotifyListeners() {
  for (const Listener& listener : listeners_) listener(state_);
}

void GatewaySession::Send(const std::string& endpoint, const ControlMessage& message) {
  runtime_->transport->Send(endpoint, runtime::SERVICE_CONTROL, SerializeDeterministically(message),
                            runtime::Delivery::kStream);
}

}  // namespace posthatch::control
