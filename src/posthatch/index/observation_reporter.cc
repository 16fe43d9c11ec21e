#include "posthatch/index/observation_reporter.h"

#include <memory>
#include <utility>

#include "absl/strings/str_cat.h"

namespace posthatch::index {
namespace {

constexpr runtime::Duration kProposeTimeout = std::chrono::seconds(3);
constexpr runtime::Duration kRetryDelay = std::chrono::milliseconds(300);

}  // namespace

ObservationReporter::ObservationReporter(runtime::Runtime* runtime, control::ControlClient* client)
    : runtime_(runtime), client_(client) {}

ObservationReporter::~ObservationReporter() = default;

void ObservationReporter::Report(const std::string& object, Observation observation) {
  std::unique_ptr<State>& state = objects_[object];
  if (state == nullptr) {
    state = std::make_unique<State>(runtime_->timers);
    state->sent = std::move(observation);
    Send(object);
    return;
  }
  std::optional<Observation>& next = state->next;
  if (!next.has_value() || observation.epoch > next->epoch) {
    next = std::move(observation);
  } else if (observation.epoch == next->epoch) {
    next->lost = next->lost || observation.lost;
  }
}

void ObservationReporter::Send(const std::string& object) {
  State* state = objects_.find(object)->second.get();
  if (state->request_id.empty()) {
    state->request_id =
        absl::StrCat("observe/", runtime_->transport->node_id(), "/",
                     runtime_->transport->incarnation(), "/", ++last_request_number_);
  }
  control::Command command;
  command.set_request_id(state->request_id);
  control::ObserveObject* observation = command.mutable_observe_object();
  observation->set_object(object);
  observation->set_epoch(state->sent.epoch);
  observation->set_lost(state->sent.lost);
  observation->set_reason(state->sent.reason);
  client_->Propose(
      std::move(command), kProposeTimeout, /*until_in_force=*/false,
      [this, object, request_id = state->request_id,
       alive = std::weak_ptr<bool>(alive_)](const absl::StatusOr<control::CommandResult>& result) {
        if (!alive.expired()) OnProposalResult(object, request_id, result.ok());
      });
}

void ObservationReporter::OnProposalResult(const std::string& object, const std::string& request_id,
                                           bool accepted) {
  const auto found = objects_.find(object);
  if (found == objects_.end() || found->second->request_id != request_id) return;
  State* state = found->second.get();
  if (!accepted) {
    // The proposal may have been applied: the same request id makes the retry idempotent.
    state->retry_timer.Start(kRetryDelay, [this, object] { Send(object); });
    return;
  }
  ++accepted_;
  state->request_id.clear();
  if (!state->next.has_value()) {
    objects_.erase(found);
    return;
  }
  state->sent = *std::exchange(state->next, std::nullopt);
  Send(object);
}

}  // namespace posthatch::index
