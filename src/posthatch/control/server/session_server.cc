#include "posthatch/control/server/session_server.h"

#include <utility>

#include "posthatch/control/state/fleet_sections.h"

namespace posthatch::control {

SessionServer::SessionServer(runtime::Runtime* runtime, runtime::Duration session_lease,
                             const consensus::ReplicatedLog* log, const Leadership* leadership,
                             const ControlState* state, const RevisionTimeline* revisions,
                             const InventoryPublisher* inventory, SectionEncoder* encoder,
                             SessionTable* sessions, PushScheduler* pushes,
                             ProposalServer* proposals, ControlMessenger* messenger,
                             ControllerMetrics* metrics)
    : runtime_(runtime),
      session_lease_(session_lease),
      log_(log),
      leadership_(leadership),
      state_(state),
      revisions_(revisions),
      inventory_(inventory),
      encoder_(encoder),
      sessions_(sessions),
      pushes_(pushes),
      proposals_(proposals),
      messenger_(messenger),
      metrics_(metrics) {}

void SessionServer::OnRenewal(const ControlPeer& sender, const SessionRenewal& renewal) {
  if (!leadership_->IsLeader()) {
    SendLeaderHint(sender.endpoint);
  } else if (renewal.leaving()) {
    sessions_->End({renewal.gateway(), renewal.incarnation()});
    proposals_->OnSessionEnded();
  } else if (!leadership_->HasLeaderLease()) {
    metrics_->grants_denied_no_lease().Increment();
  } else if (!renewal.rejection().empty()) {
    RejectLease(sender, renewal);
  } else {
    RenewSession(sender, renewal);
  }
}

void SessionServer::SendLeaderHint(const std::string& endpoint) {
  ControlMessage message;
  message.set_leader_hint(log_->leader_endpoint());
  messenger_->Send(endpoint, message);
}

void SessionServer::RejectLease(const ControlPeer& sender, const SessionRenewal& renewal) {
  runtime_->trace->Event(runtime::Severity::kError, "ConfigurationRejectedByGateway",
                         {{"gateway", renewal.gateway()}, {"error", renewal.rejection()}});
  messenger_->SendSerialized(sender.endpoint, MakeGrant(renewal, runtime::Duration::zero()));
}

void SessionServer::RenewSession(const ControlPeer& sender, const SessionRenewal& renewal) {
  const uint64_t newest_index = HighestIndex(IndicesOf(state_->fleet()));
  Session* session = sessions_->Renew(renewal, sender.endpoint, runtime_->clock->Now(),
                                      session_lease_, newest_index, leadership_->term());
  if (session == nullptr) return;
  std::string grant = MakeGrant(renewal, session_lease_);
  session->sent_index = newest_index;
  session->sent_at = runtime_->clock->Now();
  messenger_->SendSerialized(sender.endpoint, std::move(grant));
  metrics_->grants().Increment();
  metrics_->sessions().Set(static_cast<double>(sessions_->sessions().size()));
  proposals_->OnSessionAcked();
}

std::string SessionServer::MakeGrant(const SessionRenewal& renewal, runtime::Duration lease) {
  const auto lease_ms = std::chrono::duration_cast<std::chrono::milliseconds>(lease);
  ControlMessage message;
  SessionGrant* grant = message.mutable_session_grant();
  grant->set_renewal(renewal.renewal());
  grant->set_incarnation(renewal.incarnation());
  grant->set_term(leadership_->term());
  grant->set_lease_ms(static_cast<uint32_t>(lease_ms.count()));
  grant->set_inventory_age_ms(inventory_->InventoryAgeMs());
  const bool carries_revisions = state_->fleet().revisions_index() > renewal.revisions_index();
  EncodeRevisionAges(*revisions_, runtime_->clock->Now(), carries_revisions,
                     grant->mutable_changed());
  return encoder_->SerializeWithSections(message, IndicesOf(renewal));
}

void SessionServer::OnPushAck(const StatePushAck& ack) {
  if (!leadership_->active()) return;
  const SessionKey key{ack.gateway(), ack.incarnation()};
  sessions_->Acknowledge(key, IndicesOf(ack));
  Session* session = sessions_->Find(key);
  if (session != nullptr &&
      HighestIndex(session->acked_versions) < HighestIndex(IndicesOf(state_->fleet()))) {
    // Marks that no push is in flight: the next one is a delta to the sections just acknowledged.
    session->sent_index = 0;
    pushes_->Schedule();
  }
  proposals_->OnSessionAcked();
}

}  // namespace posthatch::control
