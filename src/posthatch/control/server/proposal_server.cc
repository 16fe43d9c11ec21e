#include "posthatch/control/server/proposal_server.h"

#include <utility>

#include "absl/status/status.h"
#include "posthatch/control/state/fingerprint.h"

namespace posthatch::control {
namespace {

// Delay from an acknowledgement to the check of the waiting changes, and interval of further
// checks.
constexpr runtime::Duration kCheckDelay = std::chrono::milliseconds(1);
constexpr runtime::Duration kCheckInterval = std::chrono::milliseconds(50);

}  // namespace

ProposalServer::ProposalServer(runtime::Runtime* runtime, size_t max_proposals,
                               consensus::ReplicatedLog* log, const Leadership* leadership,
                               const ControlState* state, const SessionTable* sessions,
                               PushScheduler* pushes, ControlMessenger* messenger,
                               ControllerMetrics* metrics)
    : runtime_(runtime),
      max_proposals_(max_proposals),
      log_(log),
      leadership_(leadership),
      state_(state),
      sessions_(sessions),
      pushes_(pushes),
      messenger_(messenger),
      metrics_(metrics),
      check_timer_(runtime->timers) {}

void ProposalServer::OnRequest(const ControlPeer& sender, const ProposeRequest& request) {
  const ProposalKey key = MakeKey(sender, request);
  const auto pending = pending_calls_.find(key);
  if (pending != pending_calls_.end()) {
    pending->second = request.call();  // a resend: only the newest call gets the response
    return;
  }
  const ProposeResponse::Status rejection = CheckAdmission();
  if (rejection != ProposeResponse::STATUS_UNSPECIFIED) {
    Reject(sender, request.call(), rejection);
    return;
  }
  pending_calls_[key] = request.call();
  Command command = request.command();
  StampControlTime(&command);
  log_->Propose(SerializeDeterministically(command),
                lifetime_.Guard([this, key](const absl::StatusOr<std::string>& serialized_result) {
                  OnProposalDone(key, serialized_result);
                }));
}

ProposalServer::ProposalKey ProposalServer::MakeKey(const ControlPeer& sender,
                                                    const ProposeRequest& request) {
  ProposalKey key{sender.endpoint, sender.incarnation, request.command().request_id(),
                  request.until_in_force()};
  if (key.request_id.empty()) {
    key.request_id = "\n" + std::to_string(++anonymous_proposal_count_);
  }
  return key;
}

ProposeResponse::Status ProposalServer::CheckAdmission() const {
  if (!leadership_->IsLeader()) return ProposeResponse::NOT_LEADER;
  if (pending_calls_.size() >= max_proposals_) return ProposeResponse::OVERLOADED;
  return ProposeResponse::STATUS_UNSPECIFIED;
}

void ProposalServer::Reject(const ControlPeer& sender, uint64_t call,
                            ProposeResponse::Status status) {
  ControlMessage message;
  ProposeResponse* response = message.mutable_propose_response();
  response->set_call(call);
  response->set_status(status);
  if (status == ProposeResponse::NOT_LEADER) {
    response->set_leader_endpoint(log_->leader_endpoint());
  } else {
    metrics_->overloaded().Increment();
  }
  messenger_->Send(sender.endpoint, message);
}

void ProposalServer::StampControlTime(Command* command) const {
  const auto led_for = std::chrono::duration_cast<std::chrono::milliseconds>(
      runtime_->clock->Now() - leadership_->since());
  const int64_t now_ms = control_time_base_ms_ + led_for.count();
  if (command->has_delivery_begin()) command->mutable_delivery_begin()->set_now_ms(now_ms);
  if (command->has_delivery_finish()) command->mutable_delivery_finish()->set_now_ms(now_ms);
}

void ProposalServer::OnProposalDone(const ProposalKey& key,
                                    const absl::StatusOr<std::string>& serialized_result) {
  if (!serialized_result.ok()) {
    RespondNotApplied(key, serialized_result.status());
    return;
  }
  CommandResult result;
  if (!result.ParseFromString(*serialized_result)) {
    RespondUncertain(key);
  } else if (key.until_in_force && result.code() == CommandResult::OK) {
    WaitUntilInForce(key, result);
  } else {
    RespondDone(key, result);
  }
}

void ProposalServer::RespondNotApplied(const ProposalKey& key, const absl::Status& status) {
  ProposeResponse response;
  response.set_leader_endpoint(log_->leader_endpoint());
  switch (status.code()) {
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
  Respond(key, std::move(response));
}

void ProposalServer::WaitUntilInForce(const ProposalKey& key, const CommandResult& result) {
  if (!leadership_->active()) {
    RespondUncertain(key);
    return;
  }
  const runtime::MonotonicTime committed_at = runtime_->clock->Now();
  waiters_.Add(result.log_index(), [this, key, result, committed_at](bool in_force) {
    if (!in_force) {
      RespondUncertain(key);
      return;
    }
    const runtime::Duration waited = runtime_->clock->Now() - committed_at;
    metrics_->in_force_seconds().Observe(std::chrono::duration<double>(waited).count());
    RespondDone(key, result);
  });
  ScheduleInForceCheck(kCheckDelay);
}

void ProposalServer::RespondDone(const ProposalKey& key, const CommandResult& result) {
  ProposeResponse response;
  response.set_status(ProposeResponse::DONE);
  *response.mutable_result() = result;
  Respond(key, std::move(response));
}

void ProposalServer::RespondUncertain(const ProposalKey& key) {
  ProposeResponse response;
  response.set_status(ProposeResponse::UNCERTAIN);
  Respond(key, std::move(response));
}

void ProposalServer::Respond(const ProposalKey& key, ProposeResponse response) {
  const auto proposal = pending_calls_.find(key);
  if (proposal == pending_calls_.end()) return;
  response.set_call(proposal->second);
  pending_calls_.erase(proposal);
  ControlMessage message;
  *message.mutable_propose_response() = std::move(response);
  messenger_->Send(key.endpoint, message);
}

void ProposalServer::OnSessionEnded() { ScheduleInForceCheck(kCheckDelay); }

void ProposalServer::OnSessionAcked() {
  if (waiters_.size() > 0) ScheduleInForceCheck(kCheckDelay);
}

void ProposalServer::ScheduleInForceCheck(runtime::Duration delay) {
  check_timer_.Start(delay, [this] { CheckInForce(); });
}

void ProposalServer::CheckInForce() {
  const runtime::MonotonicTime now = runtime_->clock->Now();
  // Waits for the sessions of previous leaders to expire, since `sessions_` doesn't list them.
  if (leadership_->PreviousSessionsExpired(now)) waiters_.Check(*sessions_, now);
  if (waiters_.size() == 0) return;
  pushes_->PushAll();
  ScheduleInForceCheck(kCheckInterval);
}

}  // namespace posthatch::control
