#pragma once

#include <memory>
#include <string>
#include <vector>

#include "posthatch/control/configuration.pb.h"
#include "posthatch/emulator/operator_emulator.h"
#include "posthatch/emulator/traffic_mix.h"
#include "posthatch/fleettest/fault_injector.h"
#include "posthatch/fleettest/fleet.h"
#include "posthatch/fleettest/inventory_publisher.h"
#include "posthatch/fleettest/scenario.h"

namespace posthatch::fleettest {

// Executes a scenario's timeline of operators' and the platform's operations. Event loop thread
// only; owned by the fleet test.
class OperationRunner {
 public:
  struct Environment {
    Fleet* fleet = nullptr;
    ProcessControlClient* control = nullptr;
    InventoryPublisher* inventory = nullptr;
    emulator::OperatorEmulator* first_operator = nullptr;
    emulator::OperatorEmulator* second_operator = nullptr;  // the competitor in racing changes
    // Rotates the probe tenant's key once it is started.
    emulator::OperatorEmulator* rotating_operator = nullptr;
    // The configuration applied at the start, updated with each isolation change.
    control::Configuration configuration;
    std::string first_model;
  };

  explicit OperationRunner(Environment environment);
  OperationRunner(const OperationRunner&) = delete;
  OperationRunner& operator=(const OperationRunner&) = delete;

  // Schedules the operations, relative to the current time.
  void Start(const std::vector<Operation>& operations);
  // Cancels the operations not started yet.
  void Stop() { timers_.clear(); }
  const std::vector<FaultOutcome>& outcomes() const { return outcomes_; }

 private:
  void Execute(const Operation& operation);
  void ChangeConfiguration();
  void StartRacingChange();
  void SendRacingChanges(uint64_t version);
  void SetDrainMark(const Operation& operation);
  void ChangeModelRevision(const std::string& model);
  void ChangeIsolation(const Operation& operation);
  emulator::OperatorEmulator::ChangeDone ReportOutcome(const Operation& operation,
                                                       const std::string& target);
  void AddOutcome(OperationKind kind, const std::string& target, const std::string& result);

  Environment environment_;
  runtime::MonotonicTime started_{};
  uint64_t changes_ = 0;
  uint64_t revisions_ = 0;
  bool rotating_ = false;
  std::vector<std::unique_ptr<runtime::Timer>> timers_;
  std::vector<FaultOutcome> outcomes_;
};

// The patch that creates `configuration`, and its detail for the checks: the accepted keys and the
// isolated tenants.
control::ConfigurationPatch InitialPatch(const control::Configuration& configuration);
std::string InitialDetail(const emulator::TrafficMix& mix);

}  // namespace posthatch::fleettest
