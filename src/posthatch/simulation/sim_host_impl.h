#pragma once

#include <memory>
#include <string>
#include <vector>

#include "posthatch/simulation/host_executor.h"
#include "posthatch/simulation/host_runtime.h"
#include "posthatch/simulation/sim_clock.h"
#include "posthatch/simulation/sim_disk.h"
#include "posthatch/simulation/sim_file_system.h"
#include "posthatch/simulation/sim_world.h"
#include "posthatch/simulation/world_core.h"

namespace posthatch::simulation {

// Implementation of SimHost. Owned by SimWorld.
class SimHostImpl : public SimHost {
 public:
  SimHostImpl(WorldCore* core, uint32_t number, const std::string& name, std::string zone,
              std::string ip, uint16_t internal_port, uint16_t http_port);

  const std::string& name() const override { return executor_.name(); }
  const std::string& zone() const override { return zone_; }
  const std::string& ip() const override { return ip_; }
  std::string internal_endpoint() const override { return internal_endpoint_; }
  std::string http_endpoint() const override { return http_endpoint_; }

  void SetBoot(Boot boot) override { boot_ = std::move(boot); }
  void Start() override;
  bool running() const override { return executor_.running(); }
  runtime::Runtime* runtime() override;

  void Crash() override { End(ProcessEnd::kCrash); }
  void PowerLoss() override;
  void LoseDisk() override;
  void Freeze() override { executor_.Freeze(); }
  void Thaw() override { executor_.Thaw(core_->random.Chance(0.5)); }
  void JumpWallClock(runtime::Duration delta) override { clock_.JumpWall(delta); }
  void SetDiskDelay(runtime::Duration per_sync) override { disk_speed_.per_sync = per_sync; }
  void SetDiskFull(bool full) override { disk_.set_full(full); }
  void SetProcessor(ProcessorModel* processor) override { executor_.SetProcessor(processor); }
  void SetResponseCopies(const ResponseCopies& copies) override { response_copies_ = copies; }

  uint32_t number() const { return executor_.number(); }
  HostExecutor* executor() { return &executor_; }

 private:
  void End(ProcessEnd end);
  void MixProcessEvent(const char* event);

  WorldCore* const core_;
  const std::string zone_;
  const std::string ip_;
  const std::string internal_endpoint_;
  const std::string http_endpoint_;
  HostExecutor executor_;
  SimClock clock_;
  SimDisk disk_;
  DiskSpeed disk_speed_;
  ResponseCopies response_copies_;
  Boot boot_;
  std::unique_ptr<HostRuntime> runtime_;  // null unless a process is running
  // Runtimes of ended processes are kept, since pointers to them may remain; they ignore calls.
  std::vector<std::unique_ptr<HostRuntime>> ended_runtimes_;
  std::shared_ptr<void> process_;
};

}  // namespace posthatch::simulation
