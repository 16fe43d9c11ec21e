#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "posthatch/fleettest/fleet.h"
#include "posthatch/fleettest/fleet_plan.h"
#include "posthatch/fleettest/history/recorders.h"
#include "posthatch/fleettest/node_plan.h"
#include "posthatch/server/process_factory.h"
#include "posthatch/simulation/sim_world.h"

namespace posthatch::fleettest {

// A fleet in the simulator: every process is a host of one SimWorld, in virtual time and
// deterministic by seed. Used by one thread.
class SimulatedFleet : public Fleet {
 public:
  // `scenario` and `factory` outlive the fleet.
  SimulatedFleet(const Scenario* scenario, uint64_t seed, server::ProcessFactory* factory,
                 bool round_robin);
  ~SimulatedFleet() override;

  absl::Status Start() override;
  void RunFor(runtime::Duration duration) override { world_.RunFor(duration); }
  runtime::Runtime* runtime() override { return callers_runtime_; }
  HistoryRecorder* recorder() override { return callers_recorder_.get(); }
  std::vector<ProcessInfo> processes() const override;
  // Processes can't move: a simulated disk is bound to its host's address.
  bool Supports(FaultKind kind) const override { return kind != FaultKind::kMoveSeed; }
  std::string Failure() override { return failure_; }

  absl::Status Kill(const std::string& name) override;
  absl::Status Stop(const std::string& name) override;
  absl::Status Restart(const std::string& name) override;
  absl::Status Freeze(const std::string& name) override;
  absl::Status Thaw(const std::string& name) override;
  absl::Status PowerOff(const std::string& name) override;
  absl::Status ClearDisk(const std::string& name) override;
  absl::Status SetDiskDelay(const std::string& name, runtime::Duration per_sync) override;
  absl::Status JumpClock(const std::string& name, runtime::Duration delta) override;
  absl::Status SetLink(const std::string& from, const std::string& to, LinkState state) override;
  absl::StatusOr<ProcessInfo> Replace(const std::string& name) override;
  absl::StatusOr<ProcessInfo> Move(const std::string& name) override;

  absl::StatusOr<std::vector<HistoryEvent>> TakeHistory() override;
  uint64_t trace_hash() const override { return world_.trace_hash(); }
  uint64_t behaviour_hash() const override { return world_.behaviour_hash(); }

  // The simulated world, for tests and for debugging a failed seed.
  simulation::SimWorld* world() { return &world_; }

 private:
  class Node;

  simulation::SimHost* AddProcess(const PlannedProcess& process);
  std::shared_ptr<void> Boot(const PlannedProcess& process, simulation::SimHost* host,
                             runtime::Runtime* runtime);
  std::shared_ptr<void> BootBackend(const PlannedProcess& process, runtime::Runtime* runtime,
                                    const std::string& endpoint);
  std::shared_ptr<void> BootNode(const PlannedProcess& process, simulation::SimHost* host,
                                 runtime::Runtime* runtime);
  // Returns the host of `name`, or an error unless `running` matches its state.
  absl::StatusOr<simulation::SimHost*> FindHostInState(const std::string& name, bool running) const;
  FleetAddresses Addresses() const;
  ProcessInfo MakeProcessInfo(const PlannedProcess& process) const;
  template <typename Emulator, typename Settings>
  std::shared_ptr<void> BootEmulator(const PlannedProcess& process, runtime::Runtime* runtime,
                                     const Settings& settings);

  const Scenario& scenario_;
  server::ProcessFactory* const factory_;
  const bool round_robin_;
  std::string failure_;
  std::vector<HistoryEvent> events_;
  std::vector<PlannedProcess> processes_;
  std::map<Role, uint32_t> newest_number_;
  std::map<std::string, std::weak_ptr<Node>> nodes_;
  runtime::Runtime* callers_runtime_ = nullptr;
  std::unique_ptr<MemoryHistoryRecorder> callers_recorder_;
  // Must be the last member: its hosts' processes use the members above until they are destroyed.
  simulation::SimWorld world_;
};

}  // namespace posthatch::fleettest
