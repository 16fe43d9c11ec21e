#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "posthatch/fleettest/child_process.h"
#include "posthatch/fleettest/fleet.h"
#include "posthatch/fleettest/fleet_plan.h"
#include "posthatch/fleettest/history/recorders.h"
#include "posthatch/fleettest/node_plan.h"
#include "posthatch/fleettest/process_control_client.h"
#include "posthatch/net/asio_runtime.h"

namespace posthatch::fleettest {

struct RealFleetOptions {
  std::string posthatchd;          // path of the program
  std::string posthatch_emulator;  // path of the program
  std::string run_folder;          // parent of settings, data, logs and histories
  uint64_t seed = 1;               // random seed of callers, operators and faults
  bool round_robin = false;
};

// A fleet of real processes on loopback, one address per process. The only part of posthatch that
// starts processes. The destructor ends all of them.
class RealFleet : public Fleet {
 public:
  // `scenario` outlives the fleet.
  RealFleet(const Scenario* scenario, RealFleetOptions options);
  ~RealFleet() override;

  absl::Status Start() override;
  void RunFor(runtime::Duration duration) override;
  runtime::Runtime* runtime() override { return &runtime_; }
  HistoryRecorder* recorder() override { return recorder_.get(); }
  std::vector<ProcessInfo> processes() const override;
  // Real processes share the machine's clock, and the operating system keeps written data.
  bool Supports(FaultKind kind) const override {
    return kind != FaultKind::kPowerLoss && kind != FaultKind::kClockJump;
  }
  std::string Failure() override;

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

 private:
  struct Member;

  absl::Status AddMember(const PlannedProcess& plan);
  absl::Status AssignAddress(Member* member, uint32_t move);
  absl::Status Launch(Member* member);
  std::string SettingsOf(const Member& member) const;
  std::vector<emulator::InventoryBackend> Backends() const;
  FleetAddresses Addresses() const;
  Member* Find(const std::string& name) const;
  ProcessInfo MakeProcessInfo(const Member& member) const;
  // Sends a posthatch process its current faults, retrying until it has accepted them.
  void SendFaults(const std::string& name, int attempts_left);
  std::string FaultsJson(const Member& member) const;

  const Scenario& scenario_;
  const RealFleetOptions options_;
  std::unique_ptr<net::AsioRuntime> asio_runtime_;
  runtime::Runtime runtime_;  // the Asio runtime with a seeded random generator
  std::unique_ptr<runtime::Random> random_;
  std::vector<HistoryEvent> events_;
  std::unique_ptr<MemoryHistoryRecorder> recorder_;
  std::unique_ptr<ProcessControlClient> control_;
  std::vector<std::unique_ptr<Member>> members_;
  std::vector<std::string> histories_;  // history files, including those of replaced processes
  std::map<Role, uint32_t> newest_number_;
  std::map<std::pair<std::string, std::string>, LinkState> links_;
  std::vector<std::unique_ptr<runtime::Timer>> timers_;
};

}  // namespace posthatch::fleettest
