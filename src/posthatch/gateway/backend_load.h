#pragma once

#include <cstdint>

#include "posthatch/gateway/backend_entry.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::gateway {

// Tracks this gateway's attempts in progress at each back end and the measured queueing time there.
// Owned by BackendDirectory; event loop thread only.
class BackendLoad {
 public:
  explicit BackendLoad(const runtime::Clock* clock) : clock_(clock) {}

  void OnDispatched(BackendEntry* entry, uint64_t pending_blocks);
  // The response head was received or is no longer awaited, so the blocks of the prompt are no
  // longer pending.
  void OnResponseHead(BackendEntry* entry, uint64_t pending_blocks);
  void OnEnded(BackendEntry* entry);
  // The first chunk arrived `milliseconds` later than expected from the prefill alone.
  void OnWaitMeasured(BackendEntry* entry, double milliseconds);

  // How long attempts have waited without any response head, minus the grace period.
  runtime::Duration UnresponsiveTime(const BackendEntry& entry) const;
  // Measured queueing time in milliseconds, including the work of other gateways; decays
  // exponentially without new measurements.
  double ExpectedWait(const BackendEntry& entry) const;

 private:
  const runtime::Clock* const clock_;
};

}  // namespace posthatch::gateway
