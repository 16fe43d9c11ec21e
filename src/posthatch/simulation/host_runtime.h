#pragma once

#include <prometheus/registry.h>

#include <string>

#include "posthatch/runtime/runtime.h"
#include "posthatch/simulation/host_trace.h"
#include "posthatch/simulation/sim_clock.h"
#include "posthatch/simulation/sim_file_system.h"
#include "posthatch/simulation/sim_http_client.h"
#include "posthatch/simulation/sim_http_server.h"
#include "posthatch/simulation/sim_timer_service.h"
#include "posthatch/simulation/sim_transport.h"
#include "posthatch/simulation/world_core.h"

namespace posthatch::simulation {

// The runtime of one process of a host. Owned by the host, which keeps it after the process ended.
class HostRuntime {
 public:
  HostRuntime(WorldCore* core, HostExecutor* host, SimClock* clock, SimDisk* disk,
              const DiskSpeed* disk_speed, const ResponseCopies* response_copies,
              const std::string& internal_endpoint);

  runtime::Runtime* runtime() { return &runtime_; }
  // Stops the services; called when the process ends, before its object is destroyed.
  void Shutdown();

 private:
  runtime::Random random_;
  SimTimerService timers_;
  SimTransport transport_;
  SimFileSystem file_system_;
  SimHttpClient http_client_;
  SimHttpServerFactory http_servers_;
  HostTrace trace_;
  prometheus::Registry metrics_;
  runtime::Runtime runtime_;
};

}  // namespace posthatch::simulation
