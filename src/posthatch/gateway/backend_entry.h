#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "posthatch/control/control.pb.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::gateway {

// State of one back end at this gateway. Attempts keep it alive after it has left the inventory.
struct BackendEntry {
  control::Backend backend;
  bool in_inventory = true;
  bool draining = false;
  bool evacuated = false;
  bool labels_changed = true;  // since evacuations were last matched

  uint32_t in_flight = 0;                      // attempts of this gateway
  uint32_t awaiting_head = 0;                  // of these, without a response head
  runtime::MonotonicTime awaiting_head_since;  // newest head, or when awaiting_head left zero
  uint64_t pending_blocks = 0;                 // of these attempts: blocks not known to be cached
  double wait_milliseconds = 0;                // moving average of measured waits ...
  runtime::MonotonicTime wait_measured;        // ... last updated at this time
  uint64_t epoch = 0;                          // newest cache epoch in a response; 0: none yet
  runtime::MonotonicTime slow_start_began;
  uint32_t consecutive_failures = 0;
  uint32_t consecutive_ejections = 0;
  runtime::MonotonicTime ejected_until;
  uint64_t refused_revision = 0;         // rejected this revision before running ...
  runtime::MonotonicTime refused_until;  // ... and is skipped for it until this time
};

using BackendPointer = std::shared_ptr<BackendEntry>;

// Back ends that are neither draining nor evacuated, in order of id.
struct BackendPool {
  std::vector<BackendPointer> all;
  std::vector<BackendPointer> local;  // in the gateway's zone
  size_t round_robin_next = 0;        // index of the next one in round-robin routing
};

}  // namespace posthatch::gateway
