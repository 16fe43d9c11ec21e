#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "posthatch/control/control.pb.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::gateway {

// One back end as this gateway sees it. Attempts keep it alive after it has left the list.
struct BackendEntry {
  control::Backend backend;
  bool in_inventory = true;
  bool draining = false;
  bool evacuated = false;
  bool labels_changed = true;  // since the evacuations were last matched against them

  uint32_t in_flight = 0;                      // dispatched by this gateway and not ended
  uint32_t awaiting_head = 0;                  // of those, without an answer's head
  runtime::MonotonicTime awaiting_head_since;  // newest head, or since `unanswered` left zero
  uint64_t pending_blocks = 0;           // of those, prompt blocks that weren't known to be cached
  double wait_milliseconds = 0;          // moving average of measured waits ...
  runtime::MonotonicTime wait_measured;  // ... the last time then
  uint64_t epoch = 0;                    // newest cache epoch seen in an answer; 0 before the first
  runtime::MonotonicTime slow_start_began;
  uint32_t consecutive_failures = 0;
  uint32_t consecutive_ejections = 0;
  runtime::MonotonicTime ejected_until;
  uint64_t refused_revision = 0;         // it refused this revision before running ...
  runtime::MonotonicTime refused_until;  // ... and isn't asked for it again until then
};

using BackendPointer = std::shared_ptr<BackendEntry>;

// Back ends that may get new work by the list and the evacuations.
struct BackendPool {
  std::vector<BackendPointer> all;
  std::vector<BackendPointer> local;  // those in the gateway's zone
  size_t round_robin_next = 0;        // of round-robin routing
};

}  // namespace posthatch::gateway
