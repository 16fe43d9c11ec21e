#include "posthatch/control/client/gateway_session.h"

#include <algorithm>
#include <utility>

#include "posthatch/control/state/fingerprint.h"
#include "posthatch/control/state/fleet_sections.h"

namespace posthatch::control {
namespace {

// A grant of a longer lease can only come from a corrupted message.
constexpr uint32_t kMaxLeaseMs = 60000;
// Delay of a renewal that is due at once, so that several reasons for it share one renewal.
constexpr runtime::Duration kImmediateRenewalDelay = std::chrono::milliseconds(5);

}  // namespace

GatewaySession::GatewaySession(runtime::Runtime* runtime, GatewaySessionOptions options,
                               LeaderLocator::Endpoints controllers)
    : runtime_(runtime),
      options_(std::move(options)),
      metrics_(runtime->metrics),
      leader_contact_(runtime, &metrics_),
      locator_(runtime, std::move(controllers)),
      client_(runtime, options_.client, &locator_,
              [this](const std::string& endpoint, const ControlMessage& message) {
                Send(endpoint, message);
              }),
      replica_(runtime->trace, &metrics_),
      renew_timer_(runtime->timers) {
  runtime_->transport->SetReceiver(
      runtime::SERVICE_CONTROL,
      [this](const runtime::Envelope& envelope) { OnEnvelope(envelope); });
  ScheduleRenewal(runtime::Duration::zero());
}

GatewaySession::~GatewaySession() {
  runtime_->transport->SetReceiver(runtime::SERVICE_CONTROL, [](const runtime::Envelope&) {});
}

runtime::Duration GatewaySession::InventoryAge() const {
  if (!inventory_requested_at_.has_value()) return kUnknownAge;
  return runtime_->clock->Now() - *inventory_requested_at_;
}

void GatewaySession::Propose(Command command, runtime::Duration timeout, bool until_in_force,
                             ProposeDone done) {
  client_.Propose(std::move(command), timeout, until_in_force, std::move(done));
}

void GatewaySession::Query(std::string name, std::string argument, runtime::Duration timeout,
                           QueryDone done) {
  client_.Query(std::move(name), std::move(argument), timeout, std::move(done));
}

bool GatewaySession::HasLeaseOnWorker(const std::string& worker_id, uint64_t* fencing_token) const {
  if (!LeaseValid()) return false;
  const WorkerLease* lease = FindLease(replica_.state(), worker_id);
  if (lease == nullptr || lease->holder() != runtime_->transport->node_id() ||
      lease->holder_incarnation() != runtime_->transport->incarnation()) {
    return false;
  }
  *fencing_token = lease->fencing_token();
  return true;
}

void GatewaySession::Leave() {
  if (lease_.ended()) return;
  lease_.End();
  renew_timer_.Cancel();
  const uint64_t renewal = lease_.StartRenewal(runtime_->clock->Now());
  ControlMessage message;
  *message.mutable_session_renewal() = MakeRenewal(renewal, /*leaving=*/true);
  const std::string target = locator_.Target();
  if (!target.empty()) Send(target, message);
}

void GatewaySession::Renew() {
  if (lease_.AwaitsResponse()) locator_.MarkUnavailable(renewal_target_);
  const std::string target = locator_.Target();
  if (!target.empty()) {
    const uint64_t renewal = lease_.StartRenewal(runtime_->clock->Now());
    ControlMessage message;
    *message.mutable_session_renewal() = MakeRenewal(renewal, /*leaving=*/false);
    renewal_target_ = target;
    Send(target, message);
    metrics_.IncrementRenewals();
    leader_contact_.OnRenewalSent(target);
  }
  // Retries until a grant restarts the timer with the renewal interval.
  ScheduleRenewal(lease_.granted() ? options_.retry_interval : options_.first_retry_interval);
}

void GatewaySession::ScheduleRenewal(runtime::Duration delay) {
  renew_timer_.Start(delay, [this] { Renew(); });
}

SessionRenewal GatewaySession::MakeRenewal(uint64_t number, bool leaving) const {
  SessionRenewal renewal;
  renewal.set_gateway(runtime_->transport->node_id());
  renewal.set_incarnation(runtime_->transport->incarnation());
  renewal.set_renewal(number);
  renewal.set_zone(options_.zone);
  SetIndices(IndicesOf(replica_.state()), &renewal);
  renewal.set_leaving(leaving);
  renewal.set_rejection(replica_.rejection());
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
  if (lease_.ended()) return;
  const std::optional<runtime::MonotonicTime> sent_at = lease_.SentAt(grant.renewal());
  if (!sent_at.has_value() || !IsAcceptable(grant)) return;
  lease_.OnResponse(grant.renewal());
  revision_timeline_.ObserveAges(grant.changed().revision_ages(), *sent_at);
  term_ = grant.term();
  locator_.OnLeaderResponse(from_endpoint);
  leader_contact_.OnLeaderResponse(from_endpoint);
  const UpdateOutcome outcome = replica_.Apply(grant.changed(), grant.changed_sections());
  revision_timeline_.Observe(replica_.state(), runtime_->clock->Now());
  if (outcome == UpdateOutcome::kBaseMismatch) {
    // A push was applied in between; the next renewal reports the versions in force now.
    ScheduleRenewal(kImmediateRenewalDelay);
    return;
  }
  if (outcome == UpdateOutcome::kRejected) return;
  ExtendLease(from_endpoint, grant, *sent_at);
  if (outcome == UpdateOutcome::kUnchanged) return;
  Acknowledge(from_endpoint, 0);
  replica_.NotifyListeners();
}

bool GatewaySession::IsAcceptable(const SessionGrant& grant) const {
  return grant.incarnation() == runtime_->transport->incarnation() && grant.term() >= term_ &&
         grant.lease_ms() <= kMaxLeaseMs;
}

void GatewaySession::ExtendLease(const std::string& from_endpoint, const SessionGrant& grant,
                                 runtime::MonotonicTime sent_at) {
  if (grant.inventory_age_ms() != kInventoryNeverRead) {
    // The leader computed the age after the renewal was sent: the inventory isn't older than this.
    inventory_requested_at_ = sent_at - std::chrono::milliseconds(grant.inventory_age_ms());
  }
  const bool first_grant_of_leader = granted_term_ != grant.term();
  granted_term_ = grant.term();
  granted_renewal_ = grant.renewal();
  leader_endpoint_ = from_endpoint;
  lease_.Extend(sent_at + std::chrono::duration_cast<runtime::Duration>(
                              std::chrono::milliseconds(grant.lease_ms()) *
                              (1.0 - options_.clock_rate_margin)));
  metrics_.IncrementGrants();
  // Once a leader knows that its first grant arrived, it knows that previous incarnations of this
  // gateway have ended, and needn't wait for their leases to expire.
  const runtime::Duration until_due = options_.renew_interval - (runtime_->clock->Now() - sent_at);
  ScheduleRenewal(first_grant_of_leader ? kImmediateRenewalDelay
                                        : std::max(until_due, runtime::Duration::zero()));
}

void GatewaySession::OnPush(const std::string& from_endpoint, const StatePush& push) {
  if (lease_.ended() || push.term() < term_) return;
  leader_contact_.OnLeaderResponse(from_endpoint);
  revision_timeline_.ObserveAges(push.changed().revision_ages(), runtime_->clock->Now());
  const UpdateOutcome outcome = replica_.Apply(push.changed(), push.changed_sections());
  revision_timeline_.Observe(replica_.state(), runtime_->clock->Now());
  if (outcome == UpdateOutcome::kRejected) return;
  // After a base mismatch this reports the versions that the next delta must start from.
  Acknowledge(from_endpoint, push.push());
  if (outcome == UpdateOutcome::kChanged) replica_.NotifyListeners();
}

void GatewaySession::OnLeaderHint(const std::string& from_endpoint, const std::string& hint) {
  if (hint.empty() || hint == from_endpoint) {
    locator_.MarkUnavailable(from_endpoint);
    return;  // the next renewal is due within the retry interval
  }
  if (hint == locator_.Target()) return;
  locator_.FollowHint(hint);
  if (lease_.ended()) return;
  if (!LeaseValid() || lease_.AwaitsResponse()) ScheduleRenewal(kImmediateRenewalDelay);
}

void GatewaySession::Acknowledge(const std::string& endpoint, uint64_t push) {
  ControlMessage message;
  StatePushAck* ack = message.mutable_state_push_ack();
  ack->set_push(push);
  ack->set_gateway(runtime_->transport->node_id());
  ack->set_incarnation(runtime_->transport->incarnation());
  SetIndices(IndicesOf(replica_.state()), ack);
  Send(endpoint, message);
}

void GatewaySession::Send(const std::string& endpoint, const ControlMessage& message) {
  runtime_->transport->Send(endpoint, runtime::SERVICE_CONTROL, SerializeDeterministically(message),
                            runtime::Delivery::kStream);
}

}  // namespace posthatch::control
