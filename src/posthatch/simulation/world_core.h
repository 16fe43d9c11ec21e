#pragma once

#include <cstdint>

#include "posthatch/runtime/random.h"
#include "posthatch/simulation/event_queue.h"
#include "posthatch/simulation/network.h"
#include "posthatch/simulation/trace_log.h"

namespace posthatch::simulation {

// Types of events in the trace hash.
enum class TraceKind : uint32_t { kDatagram = 1, kStream = 2, kHttp = 3, kDisk = 4, kProcess = 5 };

// State shared by all simulated objects of a world. Owned by SimWorld; destroyed last.
struct WorldCore {
  explicit WorldCore(uint64_t world_seed)
      : seed(world_seed), random(world_seed), network(&random) {}

  // Returns a new id of a process or connection, unique in this world.
  uint64_t NextId() { return ++last_id; }
  void Mix(TraceKind kind, uint32_t actor, uint32_t peer, std::string_view data) {
    trace.Mix(queue.now(), static_cast<uint32_t>(kind), actor, peer, data);
  }

  const uint64_t seed;
  uint64_t last_id = 0;
  runtime::Random random;
  EventQueue queue;
  TraceLog trace;
  Network network;
};

}  // namespace posthatch::simulation
