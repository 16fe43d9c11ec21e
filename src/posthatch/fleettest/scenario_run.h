#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "posthatch/fleettest/fleet.h"
#include "posthatch/fleettest/report.h"
#include "posthatch/fleettest/scenario.h"

namespace posthatch::fleettest {

struct ScenarioRunOptions {
  // Where the events go that the run recorded, for looking into it; null: nowhere.
  std::vector<HistoryEvent>* keep_history = nullptr;
  // Gets a short line about every second of the load.
  std::function<void(const std::string&)> on_progress;
  // Looked at about every second: true ends the fleet test early, as failed.
  std::function<bool()> interrupted;
};

// Takes a fleet through a scenario: starts it, waits until it serves, applies the configuration,
// drives load and timeline, reads the state back, and gives the history. The same for real and
// simulated fleets.
class ScenarioRun {
 public:
  // All outlive the fleet test. The fleet is new.
  ScenarioRun(const Scenario* scenario, Fleet* fleet, ScenarioRunOptions options);
  ~ScenarioRun();
  ScenarioRun(const ScenarioRun&) = delete;
  ScenarioRun& operator=(const ScenarioRun&) = delete;

  // Carries it all out and examines the history. `report` gets the failure if it can't.
  void Run(ScenarioReport* report);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace posthatch::fleettest
