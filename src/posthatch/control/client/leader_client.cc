#include "posthatch/control/client/leader_client.h"

#include <algorithm>
#include <utility>

#include "absl/status/status.h"

namespace posthatch::control {
namespace {

// Backoff after a rejection with and without the endpoint of another leader.
constexpr runtime::Duration kRedirectBackoff = std::chrono::milliseconds(5);
constexpr runtime::Duration kRejectedBackoff = std::chrono::milliseconds(100);
// Lower bound of the random backoff; the upper bound is twice as long.
constexpr runtime::Duration kOverloadBackoff = std::chrono::milliseconds(200);
constexpr runtime::Duration kNoControllerBackoff = std::chrono::milliseconds(100);

}  // namespace

LeaderClient::LeaderClient(runtime::Runtime* runtime, LeaderClientOptions options,
                           LeaderLocator* locator, Sender sender)
    : runtime_(runtime),
      options_(options),
      locator_(locator),
      sender_(std::move(sender)),
      // A response to a call of a previous incarnation must not match one of this incarnation.
      last_call_(runtime->transport->incarnation()) {}

void LeaderClient::Propose(Command command, runtime::Duration timeout, bool until_in_force,
                           ProposeDone done) {
  auto operation = std::make_unique<Operation>(runtime_->timers);
  ProposeRequest* request = operation->message.mutable_propose_request();
  *request->mutable_command() = std::move(command);
  request->set_until_in_force(until_in_force);
  operation->resend_interval =
      until_in_force ? options_.in_force_resend_interval : options_.resend_interval;
  operation->propose_done = std::move(done);
  Start(std::move(operation), timeout);
}

void LeaderClient::Query(std::string name, std::string argument, runtime::Duration timeout,
                         QueryDone done) {
  auto operation = std::make_unique<Operation>(runtime_->timers);
  QueryRequest* request = operation->message.mutable_query_request();
  request->set_name(std::move(name));
  request->set_argument(std::move(argument));
  operation->resend_interval = options_.resend_interval;
  operation->query_done = std::move(done);
  Start(std::move(operation), timeout);
}

void LeaderClient::Start(std::unique_ptr<Operation> operation, runtime::Duration timeout) {
  operation->deadline = runtime_->clock->Now() + timeout;
  const uint64_t operation_id = ++last_operation_id_;
  const bool overloaded = operations_.size() >= options_.max_operations;
  operations_[operation_id] = std::move(operation);
  if (!overloaded) {
    SendOperation(operation_id);
    return;
  }
  operations_[operation_id]->timer.Start(runtime::Duration::zero(), [this, operation_id] {
    Finish(operation_id, absl::ResourceExhaustedError("too many calls to the controllers"));
  });
}

void LeaderClient::SendOperation(uint64_t operation_id) {
  Operation* operation = operations_.at(operation_id).get();
  const std::string target = locator_->Target();
  if (target.empty()) {
    ScheduleSend(operation_id, kNoControllerBackoff);
    return;
  }
  const uint64_t call = ++last_call_;
  operation_by_call_[call] = operation_id;
  operation->outstanding_calls.insert(call);
  operation->target = target;
  if (operation->message.has_propose_request()) {
    operation->message.mutable_propose_request()->set_call(call);
  } else {
    operation->message.mutable_query_request()->set_call(call);
  }
  const runtime::Duration remaining = operation->deadline - runtime_->clock->Now();
  operation->timer.Start(std::min(operation->resend_interval, remaining),
                         [this, operation_id] { OnResendTimeout(operation_id); });
  sender_(target, operation->message);
}

void LeaderClient::OnResendTimeout(uint64_t operation_id) {
  Operation* operation = operations_.at(operation_id).get();
  locator_->MarkUnavailable(operation->target);
  SendUnlessTimedOut(operation_id);
}

void LeaderClient::SendUnlessTimedOut(uint64_t operation_id) {
  const Operation* operation = operations_.at(operation_id).get();
  if (runtime_->clock->Now() < operation->deadline) {
    SendOperation(operation_id);
    return;
  }
  const bool never_accepted = operation->outstanding_calls.empty() && !operation->uncertain;
  Finish(operation_id, never_accepted
                           ? absl::ResourceExhaustedError("no controller took the request")
                           : absl::DeadlineExceededError("no answer from the controllers"));
}

void LeaderClient::ScheduleSend(uint64_t operation_id, runtime::Duration delay) {
  Operation* operation = operations_.at(operation_id).get();
  const runtime::Duration remaining = operation->deadline - runtime_->clock->Now();
  if (remaining <= delay) {
    operation->timer.Start(std::max(remaining, runtime::Duration::zero()),
                           [this, operation_id] { OnResendTimeout(operation_id); });
    return;
  }
  // The process may be stopped during the backoff.
  operation->timer.Start(delay, [this, operation_id] { SendUnlessTimedOut(operation_id); });
}

void LeaderClient::OnProposeResponse(const std::string& from_endpoint,
                                     const ProposeResponse& response) {
  const uint64_t operation_id = FindOperationByCall(response.call());
  if (operation_id == 0) return;
  switch (response.status()) {
    case ProposeResponse::DONE: {
      locator_->OnLeaderResponse(from_endpoint);
      std::unique_ptr<Operation> operation = RemoveOperation(operation_id);
      if (operation->propose_done) operation->propose_done(response.result());
      return;
    }
    case ProposeResponse::UNCERTAIN:
      operations_.at(operation_id)->uncertain = true;
      ScheduleSend(operation_id, kRejectedBackoff);
      return;
    case ProposeResponse::OVERLOADED: {
      RemoveCall(operation_id, response.call());
      const runtime::Duration backoff =
          runtime_->random->Between(kOverloadBackoff, 2 * kOverloadBackoff);
      ScheduleSend(operation_id, backoff);
      return;
    }
    default:
      OnRejected(response.call(), from_endpoint, response.leader_endpoint());
  }
}

void LeaderClient::OnQueryResponse(const std::string& from_endpoint,
                                   const QueryResponse& response) {
  const uint64_t operation_id = FindOperationByCall(response.call());
  if (operation_id == 0) return;
  if (response.not_leader()) {
    OnRejected(response.call(), from_endpoint, response.leader_endpoint());
    return;
  }
  locator_->OnLeaderResponse(from_endpoint);
  std::unique_ptr<Operation> operation = RemoveOperation(operation_id);
  if (operation->query_done) operation->query_done(response);
}

void LeaderClient::OnRejected(uint64_t call, const std::string& from_endpoint,
                              const std::string& hint) {
  const uint64_t operation_id = FindOperationByCall(call);
  RemoveCall(operation_id, call);
  const bool redirected = !hint.empty() && hint != from_endpoint;
  if (redirected) {
    locator_->FollowHint(hint);
  } else {
    locator_->MarkUnavailable(from_endpoint);
  }
  ScheduleSend(operation_id, redirected ? kRedirectBackoff : kRejectedBackoff);
}

void LeaderClient::Finish(uint64_t operation_id, const absl::Status& status) {
  std::unique_ptr<Operation> operation = RemoveOperation(operation_id);
  if (operation->propose_done) operation->propose_done(status);
  if (operation->query_done) operation->query_done(status);
}

uint64_t LeaderClient::FindOperationByCall(uint64_t call) const {
  const auto owner = operation_by_call_.find(call);
  return owner == operation_by_call_.end() ? 0 : owner->second;
}

void LeaderClient::RemoveCall(uint64_t operation_id, uint64_t call) {
  operations_.at(operation_id)->outstanding_calls.erase(call);
  operation_by_call_.erase(call);
}

std::unique_ptr<LeaderClient::Operation> LeaderClient::RemoveOperation(uint64_t operation_id) {
  auto found = operations_.find(operation_id);
  std::unique_ptr<Operation> operation = std::move(found->second);
  operations_.erase(found);
  for (const uint64_t call : operation->outstanding_calls) operation_by_call_.erase(call);
  operation->timer.Cancel();
  return operation;
}

}  // namespace posthatch::control
