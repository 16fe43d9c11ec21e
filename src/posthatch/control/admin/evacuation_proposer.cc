#include "posthatch/control/admin/evacuation_proposer.h"

#include <limits>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "prometheus/registry.h"

namespace posthatch::control {
namespace {

// A version that no evacuation has: the command is not applied, and its result has the newest one.
constexpr uint64_t kNoVersion = std::numeric_limits<uint64_t>::max();

}  // namespace

EvacuationProposer::EvacuationProposer(runtime::Runtime* runtime, EvacuationProposerOptions options,
                                       const EvacuationSet* evacuations, ArrivalEstimator* arrivals,
                                       ControlClient* control_client)
    : runtime_(runtime),
      options_(options),
      evacuations_(evacuations),
      arrivals_(arrivals),
      control_client_(control_client),
      late_orders_(prometheus::BuildCounter()
                       .Name("posthatch_control_late_evacuation_orders_total")
                       .Help("Evacuation orders that were not applied because a later order may "
                             "have been acknowledged")
                       .Register(*runtime->metrics)
                       .Add({})) {}

void EvacuationProposer::OnStateChanged() {
  timeline_.Observe(*evacuations_, runtime_->clock->Now());
}

void EvacuationProposer::Propose(Command command, const http::Request& request,
                                 std::shared_ptr<http::ResponseWriter> writer, Done done) {
  OnStateChanged();
  auto order = std::make_shared<Order>();
  order->command = std::move(command);
  order->writer = std::move(writer);
  order->sent_after = request.sent_after;
  order->deadline = runtime_->clock->Now() + options_.timeout;
  order->done = std::move(done);
  const std::string& name = order->command.set_evacuation().evacuation().name();
  const runtime::MonotonicTime sent_after = arrivals_->Estimate(order->sent_after).sent_after;
  if (CallerSurelyWaits(*order) || timeline_.VersionSince(name, sent_after).has_value()) {
    ProposeAt(evacuations_->VersionOf(name), order);
  } else if (MayHaveWaited(*order)) {
    Reject("process was stopped", order);
  } else {
    ProposeAt(kNoVersion, order);
  }
}

bool EvacuationProposer::CallerSurelyWaits(const Order& order) const {
  const Arrival arrival = arrivals_->Estimate(order.sent_after);
  return runtime_->clock->Now() - arrival.sent_after < options_.caller_patience;
}

bool EvacuationProposer::MayHaveWaited(const Order& order) const {
  return arrivals_->Estimate(order.sent_after).may_have_waited;
}

void EvacuationProposer::ProposeAt(uint64_t version, const SharedOrder& order) {
  const runtime::Duration remaining = order->deadline - runtime_->clock->Now();
  if (remaining <= runtime::Duration::zero()) {
    order->done(absl::DeadlineExceededError("the order's time has passed"));
    return;
  }
  order->command.mutable_set_evacuation()->set_expected_version(version);
  control_client_->Propose(
      order->command, remaining, /*until_in_force=*/false,
      lifetime_.Guard(
          [this, order](const absl::StatusOr<CommandResult>& result) { OnResult(order, result); }));
}

void EvacuationProposer::OnResult(const SharedOrder& order,
                                  const absl::StatusOr<CommandResult>& result) {
  const bool conflict = result.ok() && result->code() == CommandResult::VERSION_CONFLICT;
  if (!conflict) {
    order->done(result);
  } else {
    CheckCaller(result->version(), order);
  }
}

void EvacuationProposer::CheckCaller(uint64_t version, const SharedOrder& order) {
  if (MayHaveWaited(*order)) return Reject("process was stopped", order);
  // The writer may outlive the order's decision and must not keep it alive.
  order->writer->OnCallerDisconnected([weak_order = std::weak_ptr<Order>(order)] {
    if (const SharedOrder left = weak_order.lock()) left->caller_left = true;
  });
  // If the end of the connection is known already, the callback runs before a timer without delay.
  const runtime::Duration wait =
      CallerSurelyWaits(*order) ? runtime::Duration::zero() : options_.disconnect_notice;
  runtime_->timers->Schedule(wait, lifetime_.Guard([this, version, order] {
    if (order->caller_left) return Reject("caller left", order);
    if (MayHaveWaited(*order)) return Reject("process was stopped", order);
    ProposeAt(version, order);
  }));
}

void EvacuationProposer::Reject(std::string_view reason, const SharedOrder& order) {
  late_orders_.Increment();
  const SetEvacuation& command = order->command.set_evacuation();
  runtime_->trace->Event(runtime::Severity::kWarning, "LateEvacuationOrderRejected",
                         {{"request_id", order->command.request_id()},
                          {"evacuation", command.evacuation().name()},
                          {"lifted", command.lifted()},
                          {"reason", reason}});
  order->done(absl::AbortedError("a later order may have been acknowledged"));
}

}  // namespace posthatch::control
