#include "posthatch/simulation/host_runtime.h"

namespace posthatch::simulation {

HostRuntime::HostRuntime(WorldCore* core, HostExecutor* host, SimClock* clock, SimDisk* disk,
                         const DiskSpeed* disk_speed, const ResponseCopies* response_copies,
                         const std::string& internal_endpoint)
    : random_(core->random()),
      timers_(&core->queue, host),
      transport_(core, host, internal_endpoint, core->random()),
      file_system_(core, host, disk, disk_speed),
      http_client_(core, host, clock, &timers_),
      http_servers_(core, host, &timers_, response_copies),
      trace_(core, host->name()) {
  runtime_.clock = clock;
  runtime_.timers = &timers_;
  runtime_.random = &random_;
  runtime_.transport = &transport_;
  runtime_.file_system = &file_system_;
  runtime_.http_client = &http_client_;
  runtime_.http_servers = &http_servers_;
  runtime_.trace = &trace_;
  runtime_.metrics = &metrics_;
}

void HostRuntime::Shutdown() {
  http_servers_.Shutdown();
  http_client_.Shutdown();
  transport_.Shutdown();
  file_system_.Shutdown();
  timers_.Shutdown();
}

}  // namespace posthatch::simulation
