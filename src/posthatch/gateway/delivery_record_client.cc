#include "posthatch/gateway/delivery_record_client.h"

#include <utility>

namespace posthatch::gateway {
namespace {

// Equals DeliveryRequest::kDispatchDeadline, after which the result can't be used.
constexpr runtime::Duration kBeginTimeout = std::chrono::seconds(2);
constexpr runtime::Duration kFinishTimeout = std::chrono::seconds(10);
constexpr runtime::Duration kAbandonTimeout = std::chrono::seconds(30);

}  // namespace

control::Command DeliveryRecordClient::BeginCommand(const DeliveryKey& key) const {
  control::Command command;
  command.set_request_id("begin/" + key.attempt);
  control::DeliveryBegin* begin = command.mutable_delivery_begin();
  begin->set_tenant(key.tenant);
  begin->set_idempotency_key(key.idempotency_key);
  begin->set_request_hash(key.request_hash);
  begin->set_gateway(gateway_id_);
  begin->set_attempt(key.attempt);
  return command;
}

void DeliveryRecordClient::Begin(const DeliveryKey& key, Done done) {
  client_->Propose(BeginCommand(key), kBeginTimeout, false, std::move(done));
}

void DeliveryRecordClient::Finish(const DeliveryKey& key, control::DeliveryOutcome outcome,
                                  Done done) {
  control::Command command;
  command.set_request_id("finish/" + key.attempt);
  control::DeliveryFinish* finish = command.mutable_delivery_finish();
  finish->set_tenant(key.tenant);
  finish->set_idempotency_key(key.idempotency_key);
  finish->set_attempt(key.attempt);
  *finish->mutable_outcome() = std::move(outcome);
  client_->Propose(std::move(command), kFinishTimeout, false, std::move(done));
}

void DeliveryRecordClient::Abandon(const DeliveryKey& key) {
  const auto on_begin = [this, key](const absl::StatusOr<control::CommandResult>& result) {
    if (!result.ok()) return;
    if (result->delivery().kind() != control::DeliveryStatus::BEGUN) return;
    control::DeliveryOutcome outcome;
    outcome.set_kind(control::DeliveryOutcome::NOT_EXECUTED);
    Finish(key, std::move(outcome), [](const absl::StatusOr<control::CommandResult>&) {});
  };
  client_->Propose(BeginCommand(key), kAbandonTimeout, false, lifetime_.Guard(on_begin));
}

}  // namespace posthatch::gateway
