#pragma once

#include <cstdint>
#include <memory>

#include "posthatch/control/control.pb.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::routing {

// One worker incarnation as this gateway sees it. Requests may still refer to it after it has left
// the inventory.
struct Worker {
  control::Backend backend;
  bool in_inventory = true;
  bool draining = false;  // never reset: a draining incarnation does not return
  bool evacuated = false;
  uint64_t revision = 0;  // newest model revision it was seen to serve; never decreases
  runtime::MonotonicTime slow_start_until;

  uint32_t in_flight = 0;       // requests dispatched by this gateway and not ended
  uint64_t pending_tokens = 0;  // prompt tokens of these requests, not prefilled yet
  double wait_ms = 0;           // decaying average of measured waits, as of `wait_measured_at`
  runtime::MonotonicTime wait_measured_at;
  double failure_score = 0;  // increases by one with each failure, decays with each success
  uint32_t ejections = 0;    // consecutive
  runtime::MonotonicTime ejected_until;
  uint32_t rejections = 0;  // consecutive
  // After a slow transfer: no cached segments are transferred to or from the worker until then.
  runtime::MonotonicTime no_transfers_until;
  runtime::MonotonicTime overloaded_until;  // backoff after a rejection
};

using WorkerPointer = std::shared_ptr<Worker>;

}  // namespace posthatch::routing
