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

// On the leader: polls the platform's inventory, annotates each reading, and proposes what differs
// from the replicated one; one proposal is in flight at a time. Owned by ControllerService; event
// loop thread only.
class InventoryPublisher {
 public:
  // All pointers outlive this object.
  InventoryPublisher(runtime::Runtime* runtime, const InventoryPollerOptions& options,
                     const Leadership* leadership, ControllerHost* host, const ControlState* state,
                     const RevisionTimeline* revisions, InternalProposer* proposer);

  // Forgets what was read in an earlier term.
  void Reset();
  void Start() { poller_.Start(); }
  void Stop() { poller_.Stop(); }

  // Publishes the last reading again, with new annotations.
  void Refresh();
  // Age of the reading behind the replicated inventory, in milliseconds, or kInventoryNeverRead.
  uint32_t InventoryAgeMs() const;

 private:
  void OnRead(Inventory inventory, runtime::MonotonicTime requested_at);
  void Propose(const Inventory& inventory, runtime::MonotonicTime requested_at);
  // Whether the revisions' ages in the log are too old for a roll-out that is under way.
  bool NeedsNewerAges() const;
  void MarkCurrent(runtime::MonotonicTime requested_at);

  runtime::Runtime* const runtime_;
  const Leadership* const leadership_;
  ControllerHost* const host_;
  const ControlState* const state_;
  const RevisionTimeline* const revisions_;
  InternalProposer* const proposer_;
  InventoryPoller poller_;
  runtime::Timer refresh_timer_;

  Inventory last_reading_;  // as the platform gave it, without annotations
  runtime::MonotonicTime last_reading_requested_at_;
  bool proposal_in_flight_ = false;
  bool refresh_pending_ = false;  // requested while a proposal was in flight
  runtime::MonotonicTime ages_proposed_at_;
  // Whether the replicated inventory reflects a reading of this term, and when that was requested.
  bool is_current_ = false;
  runtime::MonotonicTime current_requested_at_;
};

}  // namespace posthatch::control
