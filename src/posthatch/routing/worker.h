#pragma once

#include <cstdint>
#include <memory>

#include "posthatch/control/control.pb.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::routing {

// One worker incarnation as this gateway sees it. Requests hold it after it has left the inventory.
struct Worker {
  control::Backend backend;
  bool in_inventory = true;
  bool draining = false;  // stays so: an incarnation that drains never returns
  bool evacuated = false;
  uint64_t revision = 0;  // newest model revision it was seen to serve; never decreases
  runtime::MonotonicTime slow_start_until;

  uint32_t in_flight = 0;       // dispatched by this gateway and not ended
  uint64_t pending_tokens = 0;  // of those, prompt tokens to be prefilled before the first event
  double wait_ms = 0;           // decaying average of measured waits, as of `wait_measured_at`
  runtime::MonotonicTime wait_measured_at;
  double failure_score = 0;  // rises by one with each failure, decays with each success
  uint32_t ejections = 0;    // consecutive
  runtime::MonotonicTime ejected_until;
  uint32_t rejections = 0;  // consecutive
  // Transfers of cached segments to or from it were slow: none is requested until then.
  runtime::MonotonicTime no_transfers_until;
  runtime::MonotonicTime overloaded_until;  // backoff after a rejection
};

using WorkerPointer = std::shared_ptr<Worker>;

}  // namespace posthatch::routing
