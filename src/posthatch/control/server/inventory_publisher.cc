#include "posthatch/control/server/inventory_publisher.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "posthatch/control/server/section_encoder.h"
#include "posthatch/control/state/fleet_sections.h"
#include "posthatch/control/state/inventory_delta.h"
#include "posthatch/control/state/inventory_state.h"

namespace posthatch::control {
namespace {

// Batches annotations that change close together into one command.
constexpr runtime::Duration kRefreshDelay = std::chrono::milliseconds(40);
// Interval of saving the model revisions' ages in the log while workers are outdated. After a
// restart of all processes a revision seems younger by at most this.
constexpr runtime::Duration kRevisionAgesInterval = std::chrono::seconds(1);

}  // namespace

InventoryPublisher::InventoryPublisher(runtime::Runtime* runtime,
                                       const InventoryPollerOptions& options,
                                       const Leadership* leadership, ControllerHost* host,
                                       const ControlState* state, const RevisionTimeline* revisions,
                                       InternalProposer* proposer)
    : runtime_(runtime),
      leadership_(leadership),
      host_(host),
      state_(state),
      revisions_(revisions),
      proposer_(proposer),
      poller_(runtime, options,
              [this](Inventory inventory, runtime::MonotonicTime requested_at) {
                OnSnapshot(std::move(inventory), requested_at);
              }),
      refresh_timer_(runtime->timers) {}

void InventoryPublisher::Reset() {
  proposal_in_flight_ = false;
  is_current_ = false;
  last_snapshot_.Clear();
  refresh_pending_ = false;
  refresh_timer_.Cancel();
}

uint32_t InventoryPublisher::InventoryAgeMs() const {
  if (!is_current_) return kInventoryNeverRead;
  return static_cast<uint32_t>(
      runtime::ToMilliseconds(runtime_->clock->Now() - current_requested_at_));
}

void InventoryPublisher::Refresh() {
  if (last_snapshot_.backends().empty() || refresh_timer_.running()) return;
  if (proposal_in_flight_) {
    refresh_pending_ = true;
    return;
  }
  refresh_timer_.Start(kRefreshDelay, [this] {
    if (leadership_->active()) OnSnapshot(last_snapshot_, last_snapshot_requested_at_);
  });
}

void InventoryPublisher::OnSnapshot(Inventory inventory, runtime::MonotonicTime requested_at) {
  if (!leadership_->HasLeaderLease()) return;
  last_snapshot_ = inventory;
  last_snapshot_requested_at_ = requested_at;
  host_->AnnotateInventory(&inventory);
  if (SameBackends(inventory, state_->fleet().inventory()) && !RevisionAgesOutdated()) {
    MarkCurrent(requested_at);
    return;
  }
  if (!proposal_in_flight_) Propose(inventory, requested_at);
}

bool InventoryPublisher::RevisionAgesOutdated() const {
  const runtime::MonotonicTime now = runtime_->clock->Now();
  if (now - revision_ages_proposed_at_ < kRevisionAgesInterval) return false;
  if (now - revisions_->newest_set_at() >= kRevisionAgesRelevantFor) return false;
  std::map<std::string, uint64_t> newest;
  for (const ModelRevision& newest_revision : state_->fleet().revisions()) {
    newest[newest_revision.model()] = newest_revision.revision();
  }
  const auto& backends = state_->fleet().inventory().backends();
  return std::any_of(backends.begin(), backends.end(), [&newest](const Backend& backend) {
    return backend.model_revision() > 0 && backend.model_revision() < newest[backend.model()];
  });
}

void InventoryPublisher::Propose(const Inventory& inventory, runtime::MonotonicTime requested_at) {
  proposal_in_flight_ = true;
  const Inventory& replicated = state_->fleet().inventory();
  Command command;
  *command.mutable_set_inventory()->mutable_delta() = ComputeDelta(replicated, inventory);
  command.mutable_set_inventory()->set_base_version(replicated.version());
  revision_ages_proposed_at_ = runtime_->clock->Now();
  revisions_->SaveAges(revision_ages_proposed_at_,
                       command.mutable_set_inventory()->mutable_revision_ages());
  proposer_->Propose(command, [this, requested_at](bool applied) {
    proposal_in_flight_ = false;
    if (applied) MarkCurrent(requested_at);
    if (std::exchange(refresh_pending_, false)) Refresh();
  });
}

void InventoryPublisher::MarkCurrent(runtime::MonotonicTime requested_at) {
  is_current_ = true;
  current_requested_at_ = requested_at;
}

}  // namespace posthatch::control
