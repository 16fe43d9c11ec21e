#pragma once

#include <prometheus/registry.h>

#include "posthatch/http/http.h"
#include "posthatch/runtime/clock.h"
#include "posthatch/runtime/file_system.h"
#include "posthatch/runtime/random.h"
#include "posthatch/runtime/timer_service.h"
#include "posthatch/runtime/trace.h"
#include "posthatch/runtime/transport.h"

namespace posthatch::runtime {

// A component's only access to the outside world. One per process (real) or per simulated host;
// everything in it belongs to one event loop thread and outlives the components.
struct Runtime {
  Clock* clock = nullptr;
  TimerService* timers = nullptr;
  Random* random = nullptr;
  Transport* transport = nullptr;
  FileSystem* file_system = nullptr;  // null on machines without a disk
  http::HttpClient* http_client = nullptr;
  http::HttpServerFactory* http_servers = nullptr;
  TraceSink* trace = nullptr;
  // Every component registers its metric families here, with a help text that documents them.
  prometheus::Registry* metrics = nullptr;
};

}  // namespace posthatch::runtime
