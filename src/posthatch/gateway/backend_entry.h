#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "posthatch/control/control.pb.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::gateway {

// State of one back end at this gateway. Attempts in progress keep the entry alive after the back
// end has left the inventory.
struct BackendEntry {
  control::Backend backend;
  bool in_inventory = true;
  bool draining = false;
  bool evacuated = false;
  bool labels_changed = true;  // since evacuations were last matched

  uint32_t in_flight = 0;                      // attempts of this gateway in progress
  uint32_t awaiting_head = 0;                  // attempts without a response head yet
  runtime::MonotonicTime awaiting_head_since;  // last head, or when awaiting_head left zero
  uint64_t pending_blocks = 0;                 // uncached blocks of attempts awaiting a head
  double wait_milliseconds = 0;                // moving average of measured queueing times
  runtime::MonotonicTime wait_measured;        // last update of wait_milliseconds
  uint64_t epoch = 0;                          // last cache epoch in a response; 0: none yet
  runtime::MonotonicTime slow_start_began;
  uint32_t consecutive_failures = 0;
  uint32_t consecutive_ejections = 0;
  runtime::MonotonicTime ejected_until;
  uint64_t rejected_revision = 0;         // model revision of the last rejection
  runtime::MonotonicTime rejected_until;  // end of the backoff for that revision
};

using BackendPointer = std::shared_ptr<BackendEntry>;

// Back ends that are neither draining nor evacuated, sorted by id.
struct BackendPool {
  std::vector<BackendPointer> all;
  std::vector<BackendPointer> local;  // back ends in the gateway's zone
  size_t round_robin_next = 0;        // index in `all` of the next back end in round-robin routing
};

}  // namespace posthatch::gateway
