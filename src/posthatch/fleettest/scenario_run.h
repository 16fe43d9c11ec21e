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
  // Receives the recorded events, for debugging; may be null.
  std::vector<HistoryEvent>* keep_history = nullptr;
  // Called with a progress line about once per second of load.
  std::function<void(const std::string&)> on_progress;
  // Checked about once per second; true ends the fleet test early, as failed.
  std::function<bool()> interrupted;
};

// Runs a fleet through a scenario: starts it, waits until it is ready, applies the configuration,
// drives load and timeline, reads the final state, and examines the history. The same for real and
// simulated fleets.
class ScenarioRun {
 public:
  // `scenario` and `fleet` must outlive this object. `fleet` must not be started yet.
  ScenarioRun(const Scenario* scenario, Fleet* fleet, ScenarioRunOptions options);
  ~ScenarioRun();
  ScenarioRun(const ScenarioRun&) = delete;
  ScenarioRun& operator=(const ScenarioRun&) = delete;

  // Runs everything and examines the history. `report` gets the failure if it can't complete.
  void Run(ScenarioReport* report);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace posthatch::fleettest
