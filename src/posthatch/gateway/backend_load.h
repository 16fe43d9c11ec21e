#pragma once

#include <cstdint>

#include "posthatch/gateway/backend_entry.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::gateway {

// What this gateway has in flight at each back end, and how long requests wait there. Owned by
// BackendDirectory; event loop thread only.
class BackendLoad {
 public:
  explicit BackendLoad(const runtime::Clock* clock) : clock_(clock) {}

  void OnDispatched(BackendEntry* entry, uint64_t pending_blocks);
  // The head of a response came, or it is no longer waited for: the prompt's blocks are done.
  void OnResponseHead(BackendEntry* entry, uint64_t pending_blocks);
  void OnEnded(BackendEntry* entry);
  // A first chunk came `milliseconds` later than its prefill explains.
  void OnWaitMeasured(BackendEntry* entry, double milliseconds);

  // How long it has kept dispatches waiting without responding to any, beyond what responses may
  // take.
  runtime::Duration UnresponsiveTime(const BackendEntry& entry) const;
  // Milliseconds that a request waits there for others, also of other gateways, as measured; decays
  // when it isn't measured again.
  double ExpectedWait(const BackendEntry& entry) const;

 private:
  const runtime::Clock* const clock_;
};

}  // namespace posthatch::gateway
