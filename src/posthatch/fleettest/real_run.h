#pragma once

#include <functional>
#include <string>

#include "absl/status/statusor.h"
#include "posthatch/fleettest/report.h"
#include "posthatch/fleettest/scenario.h"

namespace posthatch::fleettest {

struct RealRunOptions {
  std::string posthatchd;
  std::string posthatch_emulator;
  // New folder for settings, data, logs and histories; empty: a folder in the system's temporary
  // folder. Removed if the run passes, unless `keep_run_folder` is set.
  std::string run_folder;
  bool keep_run_folder = false;
  std::function<void(const std::string&)> on_progress;
  std::function<bool()> interrupted;
};

// Runs the scenario with real processes, and then its round-robin baseline if it has one. Errors:
// the run folder can't be created, or a program is missing; everything else is in the report.
absl::StatusOr<ScenarioReport> RunRealScenario(const Scenario& scenario,
                                               const RealRunOptions& options);

}  // namespace posthatch::fleettest
