#include "posthatch/fleettest/real_run.h"

#include <fmt/format.h>

#include <cstdlib>
#include <filesystem>

#include "posthatch/fleettest/real_fleet.h"
#include "posthatch/fleettest/scenario_run.h"

namespace posthatch::fleettest {

namespace {

namespace fs = std::filesystem;

absl::StatusOr<std::string> MakeRunFolder(const std::string& requested) {
  std::error_code error;
  if (!requested.empty()) {
    if (!fs::create_directories(requested, error)) {
      return absl::FailedPreconditionError(requested + ": exists or can't be created");
    }
    return fs::absolute(requested).string();
  }
  std::string pattern = (fs::temp_directory_path() / "posthatch-fleettest-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr)
    return absl::InternalError(pattern + ": can't be created");
  return pattern;
}

// Runs one fleet from start to end and examines its history.
void RunFleet(const Scenario& scenario, const RealRunOptions& options,
              const std::string& run_folder, bool round_robin, ScenarioReport* report) {
  RealFleetOptions fleet_options;
  fleet_options.posthatchd = options.posthatchd;
  fleet_options.posthatch_emulator = options.posthatch_emulator;
  fleet_options.run_folder = run_folder;
  fleet_options.seed = scenario.seed;
  fleet_options.round_robin = round_robin;
  RealFleet fleet(&scenario, fleet_options);
  ScenarioRunOptions run_options;
  run_options.on_progress = options.on_progress;
  run_options.interrupted = options.interrupted;
  ScenarioRun(&scenario, &fleet, run_options).Run(report);
}

}  // namespace

absl::StatusOr<ScenarioReport> RunRealScenario(const Scenario& scenario,
                                               const RealRunOptions& options) {
  for (const std::string& program : {options.posthatchd, options.posthatch_emulator}) {
    if (!fs::exists(program)) return absl::NotFoundError(program + ": no such program");
  }
  const absl::StatusOr<std::string> folder = MakeRunFolder(options.run_folder);
  if (!folder.ok()) return folder.status();
  std::error_code error;
  fs::create_directory(*folder + "/fleet", error);
  fs::create_directory(*folder + "/baseline", error);
  ScenarioReport report;
  report.mode = "run";
  report.seed = scenario.seed;
  RunFleet(scenario, options, *folder + "/fleet", /*round_robin=*/false, &report);
  if (scenario.round_robin_baseline && report.failure.empty()) {
    if (options.on_progress)
      options.on_progress("running the same traffic with round-robin routing:");
    ScenarioReport baseline;
    RunFleet(scenario, options, *folder + "/baseline", /*round_robin=*/true, &baseline);
    if (baseline.failure.empty()) {
      report.round_robin_hit_ratio = baseline.statistics.prefix_hit_ratio;
    } else {
      report.failure = "baseline: " + baseline.failure;
    }
  }
  if (Passed(report) && !options.keep_run_folder) {
    fs::remove_all(*folder, error);
  } else if (options.on_progress) {
    options.on_progress("settings, data and logs are in " + *folder);
  }
  return report;
}

}  // namespace posthatch::fleettest
