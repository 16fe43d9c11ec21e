#include "posthatch/fleettest/command_line.h"

#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <filesystem>
#include <iostream>
#include <utility>

#include "posthatch/fleettest/checks/check.h"
#include "posthatch/fleettest/interruption.h"
#include "posthatch/fleettest/real_run.h"
#include "posthatch/fleettest/report.h"
#include "posthatch/fleettest/scenario_loader.h"
#include "posthatch/fleettest/scenario_names.h"
#include "posthatch/fleettest/seed_runner.h"

namespace posthatch::fleettest {

namespace {

namespace fs = std::filesystem;

constexpr uint32_t kMaxThreads = 4;
constexpr uint64_t kMaxSeeds = 100000;
// Time for start, end of load and final reads of a real run, in addition to its duration.
constexpr uint32_t kRunOverheadSeconds = 300;

struct Arguments {
  std::string folder = "scenarios";
  std::string scenario_file;
  std::string report_file;
  std::string run_folder;
  std::string posthatchd;
  std::string posthatch_emulator;
  std::string history_folder;
  std::string seeds = "1-20";
  uint64_t seed = 0;
  double duration_s = 0;
  uint32_t threads = kMaxThreads;
  bool verify_determinism = false;
  bool keep = false;
  bool no_baseline = false;
};

int ReportErrors(const std::vector<std::string>& errors) {
  for (const std::string& error : errors) std::cerr << error << "\n";
  return kExitBadInput;
}

int List(const Arguments& arguments) {
  std::error_code error;
  std::vector<fs::path> files;
  for (const auto& entry : fs::directory_iterator(arguments.folder, error)) {
    if (entry.path().extension() == ".toml") files.push_back(entry.path());
  }
  if (error) return ReportErrors({arguments.folder + ": " + error.message()});
  std::sort(files.begin(), files.end());
  int exit_code = kExitPassed;
  for (const fs::path& file : files) {
    const LoadedScenario loaded = LoadScenarioFile(file.string());
    if (!loaded.ok()) exit_code = ReportErrors(loaded.errors);
    std::cout << fmt::format("{:<44} {:>5.0f} s  {}\n", file.string(),
                             std::chrono::duration<double>(loaded.scenario.duration).count(),
                             loaded.scenario.summary);
  }
  std::cout << "\nfaults: " << AllowedNames(kFaultKindNames)
            << "\noperations: " << AllowedNames(kOperationKindNames)
            << "\nThe grammar is in docs/FLEETTEST.md.\n";
  return exit_code;
}

int WriteReport(const Arguments& arguments, const std::string& text, bool passed) {
  if (!arguments.report_file.empty()) {
    const absl::Status written = WriteFile(arguments.report_file, text);
    if (!written.ok()) return ReportErrors({written.ToString()});
    std::cout << "report: " << arguments.report_file << "\n";
  }
  return passed ? kExitPassed : kExitFailed;
}

int RunReal(const Arguments& arguments, Scenario scenario) {
  if (arguments.seed != 0) scenario.seed = arguments.seed;
  if (arguments.no_baseline) scenario.round_robin_baseline = false;
  const auto seconds = std::chrono::duration<double>(scenario.duration).count();
  InstallInterruption(kRunOverheadSeconds + static_cast<uint32_t>(2 * seconds));
  RealRunOptions options;
  options.posthatchd = arguments.posthatchd;
  options.posthatch_emulator = arguments.posthatch_emulator;
  options.run_folder = arguments.run_folder;
  options.keep_run_folder = arguments.keep;
  options.on_progress = [](const std::string& line) { std::cerr << line << std::endl; };
  options.interrupted = Interrupted;
  const absl::StatusOr<ScenarioReport> report = RunRealScenario(scenario, options);
  if (!report.ok()) return ReportErrors({report.status().ToString()});
  std::cout << SummaryTable(*report);
  return WriteReport(arguments, ReportJson(*report), Passed(*report));
}

bool ParseSeeds(const std::string& text, SeedRunOptions* options) {
  unsigned long long first = 0;  // NOLINT(google-runtime-int): sscanf's type
  unsigned long long last = 0;   // NOLINT(google-runtime-int): sscanf's type
  char rest = 0;
  const int found = std::sscanf(text.c_str(), "%llu-%llu%c", &first, &last, &rest);
  if (found == 1) last = first;
  const bool well_formed = found == 2 || (found == 1 && text.find('-') == std::string::npos);
  options->first_seed = first;
  options->last_seed = last;
  return well_formed && first <= last && last - first < kMaxSeeds;
}

int Simulate(const Arguments& arguments, const Scenario& scenario,
             server::ProcessFactory* factory) {
  SeedRunOptions options;
  if (!ParseSeeds(arguments.seeds, &options)) {
    return ReportErrors({fmt::format("--seeds {}: must be A-B or A (allowed: at most {} seeds)",
                                     arguments.seeds, kMaxSeeds)});
  }
  options.history_folder = arguments.history_folder;
  options.threads = arguments.threads;
  options.verify_determinism = arguments.verify_determinism;
  options.on_report = [](const ScenarioReport& report) {
    std::cout << SeedLine(report) << std::flush;
  };
  const std::vector<ScenarioReport> reports = SimulateSeeds(scenario, options, factory);
  const bool passed = std::all_of(reports.begin(), reports.end(), Passed);
  const auto failed = std::find_if(reports.begin(), reports.end(),
                                   [](const ScenarioReport& report) { return !Passed(report); });
  // The full table is printed for the first failed seed, or for the last seed if all passed.
  std::cout << SummaryTable(failed == reports.end() ? reports.back() : *failed);
  std::cout << fmt::format("{} of {} seeds passed\n",
                           std::count_if(reports.begin(), reports.end(), Passed), reports.size());
  return WriteReport(arguments, SeedsJson(reports), passed);
}

void AddCommonOptions(CLI::App* command, Arguments* arguments) {
  command->add_option("scenario", arguments->scenario_file, "Scenario file (docs/FLEETTEST.md)")
      ->required();
  command->add_option("--report", arguments->report_file, "File for the JSON report");
  command
      ->add_option("--duration", arguments->duration_s,
                   "Seconds of load, overriding the scenario; later timeline entries are skipped")
      ->check(CLI::Range(1.0, 86400.0));
}

// Sets the duration of the load and drops timeline entries that start after its end.
void SetDuration(double seconds, Scenario* scenario) {
  scenario->duration =
      std::chrono::duration_cast<runtime::Duration>(std::chrono::duration<double>(seconds));
  const auto beyond = [&](const auto& entry) { return entry.at >= scenario->duration; };
  scenario->faults.erase(std::remove_if(scenario->faults.begin(), scenario->faults.end(), beyond),
                         scenario->faults.end());
  scenario->operations.erase(
      std::remove_if(scenario->operations.begin(), scenario->operations.end(), beyond),
      scenario->operations.end());
  if (scenario->chaos)
    scenario->chaos->until = std::min(scenario->chaos->until, scenario->duration);
}

}  // namespace

int RunCommandLine(int argc, const char* const* argv, server::ProcessFactory* factory) {
  CLI::App app("Tests a posthatch fleet: load, faults, checks N1 to N11", "posthatch-fleettest");
  app.require_subcommand(1);
  Arguments arguments;
  const fs::path program = fs::read_symlink("/proc/self/exe");
  const fs::path programs = program.parent_path().parent_path();
  arguments.posthatchd = (programs / "server" / "posthatchd").string();
  arguments.posthatch_emulator = (programs / "emulator" / "posthatch-emulator").string();
  CLI::App* list = app.add_subcommand("list", "List the scenarios in a folder");
  list->add_option("folder", arguments.folder, "Folder of scenario files")->capture_default_str();
  CLI::App* run = app.add_subcommand("run", "Run a scenario with real processes on this machine");
  AddCommonOptions(run, &arguments);
  run->add_option("--seed", arguments.seed, "Seed, overriding the scenario");
  run->add_option("--run-folder", arguments.run_folder,
                  "New folder for settings, data and logs; must not exist");
  run->add_option("--posthatchd", arguments.posthatchd, "Path of the program");
  run->add_option("--posthatch-emulator", arguments.posthatch_emulator, "Path of the program");
  run->add_flag("--keep", arguments.keep, "Keep the run folder even if the run passes");
  run->add_flag("--no-baseline", arguments.no_baseline, "Skip the round-robin baseline run");
  CLI::App* simulate =
      app.add_subcommand("simulate", "Run many seeds of a scenario in the simulator");
  AddCommonOptions(simulate, &arguments);
  simulate->add_option("--seeds", arguments.seeds, "First and last seed, A-B")
      ->capture_default_str();
  simulate->add_option("--history-folder", arguments.history_folder,
                       "Existing folder for the history of each seed, as JSON lines");
  simulate->add_option("--threads", arguments.threads, "Number of seeds run in parallel")
      ->check(CLI::Range(1u, kMaxThreads));
  simulate->add_flag("--verify-determinism", arguments.verify_determinism,
                     "Run each seed twice and compare the trace hashes");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kExitPassed : kExitBadInput;
  }
  if (list->parsed()) return List(arguments);
  LoadedScenario loaded = LoadScenarioFile(arguments.scenario_file);
  if (!loaded.ok()) return ReportErrors(loaded.errors);
  if (arguments.duration_s > 0) SetDuration(arguments.duration_s, &loaded.scenario);
  if (run->parsed()) return RunReal(arguments, std::move(loaded.scenario));
  return Simulate(arguments, loaded.scenario, factory);
}

}  // namespace posthatch::fleettest
