#include "posthatch/simulation/sim_host_impl.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace posthatch::simulation {

SimHostImpl::SimHostImpl(WorldCore* core, uint32_t number, const std::string& name,
                         std::string zone, std::string ip, uint16_t internal_port,
                         uint16_t http_port)
    : core_(core),
      zone_(std::move(zone)),
      ip_(std::move(ip)),
      internal_endpoint_(absl::StrCat(ip_, ":", internal_port)),
      http_endpoint_(absl::StrCat(ip_, ":", http_port)),
      executor_(&core->queue, number, name),
      clock_(&core->queue),
      disk_(&core->random) {
  core_->network.AddAddress(ip_, &executor_);
}

runtime::Runtime* SimHostImpl::runtime() {
  return runtime_ == nullptr ? nullptr : runtime_->runtime();
}

void SimHostImpl::MixProcessEvent(const char* event) {
  core_->Mix(TraceKind::kProcess, executor_.number(), 0, event);
}

void SimHostImpl::Start() {
  if (running() || !boot_) return;
  MixProcessEvent("start");
  executor_.StartProcess(core_->NextId());
  runtime_ = std::make_unique<HostRuntime>(core_, &executor_, &clock_, &disk_, &disk_speed_,
                                           &response_copies_, internal_endpoint_);
  executor_.Run(executor_.process_id(), HostExecutor::CallbackType::kNetwork,
                [this] { process_ = boot_(runtime_->runtime()); });
}

void SimHostImpl::End(ProcessEnd end) {
  if (!running()) return;
  if (executor_.executing()) {
    core_->queue.ScheduleAfter(runtime::Duration(0),
                               [this, process_id = executor_.process_id(), end] {
                                 if (executor_.process_id() != process_id) return;
                                 if (end == ProcessEnd::kPowerLoss) {
                                   PowerLoss();
                                 } else {
                                   Crash();
                                 }
                               });
    return;
  }
  MixProcessEvent(end == ProcessEnd::kPowerLoss ? "power loss" : "crash");
  executor_.EndProcess(end);
  std::shared_ptr<void> process = std::move(process_);
  process_ = nullptr;
  // The runtime closes the connections, in the order of their ids, before the process is destroyed:
  // its containers hashed by address would destroy its calls in a different order in each run of
  // the simulator, and each close draws a random delay from the world's seed.
  runtime_->Shutdown();
  process.reset();
  ended_runtimes_.push_back(std::move(runtime_));
}

void SimHostImpl::PowerLoss() {
  End(ProcessEnd::kPowerLoss);
  if (!running()) disk_.PowerLoss();
}

void SimHostImpl::LoseDisk() {
  if (!running()) disk_.Wipe();
}

}  // namespace posthatch::simulation
