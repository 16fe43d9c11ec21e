#pragma once

#include <cstdint>

#include "posthatch/control/inventory/inventory_poller.h"
#include "posthatch/control/server/controller_host.h"
#include "posthatch/control/server/internal_proposer.h"
#include "posthatch/control/server/leadership.h"
#include "posthatch/control/state/control_state.h"
#include "posthatch/control/state/revision_timeline.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::control {

// On the leader: polls the platform's inventory, annotates each snapshot, and proposes its
// differences from the replicated inventory; one proposal is in flight at a time. Owned by
// ControllerService; event loop thread only.
class InventoryPublisher {
 public:
  // Every pointer must outlive this object.
  InventoryPublisher(runtime::Runtime* runtime, const InventoryPollerOptions& options,
                     const Leadership* leadership, ControllerHost* host, const ControlState* state,
                     const RevisionTimeline* revisions, InternalProposer* proposer);

  // Discards the snapshot and the pending work of an earlier term.
  void Reset();
  void Start() { poller_.Start(); }
  void Stop() { poller_.Stop(); }

  // Publishes the last snapshot again, with new annotations.
  void Refresh();
  // Age in milliseconds of the snapshot that the replicated inventory reflects, or
  // kInventoryNeverRead.
  uint32_t InventoryAgeMs() const;

 private:
  void OnSnapshot(Inventory inventory, runtime::MonotonicTime requested_at);
  void Propose(const Inventory& inventory, runtime::MonotonicTime requested_at);
  // Whether the model revisions' ages in the log are too old for a roll-out in progress.
  bool RevisionAgesOutdated() const;
  void MarkCurrent(runtime::MonotonicTime requested_at);

  runtime::Runtime* const runtime_;
  const Leadership* const leadership_;
  ControllerHost* const host_;
  const ControlState* const state_;
  const RevisionTimeline* const revisions_;
  InternalProposer* const proposer_;
  InventoryPoller poller_;
  runtime::Timer refresh_timer_;

  Inventory last_snapshot_;  // the platform's data, without annotations
  runtime::MonotonicTime last_snapshot_requested_at_;
  bool proposal_in_flight_ = false;
  bool refresh_pending_ = false;  // requested while a proposal was in flight
  runtime::MonotonicTime revision_ages_proposed_at_;
  // Whether the replicated inventory reflects a snapshot of this term, and when that was requested.
  bool is_current_ = false;
  runtime::MonotonicTime current_requested_at_;
};

}  // namespace posthatch::control
