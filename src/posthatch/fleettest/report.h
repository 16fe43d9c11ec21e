#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "posthatch/fleettest/checks/check.h"
#include "posthatch/fleettest/fault_injector.h"
#include "posthatch/fleettest/scenario.h"
#include "posthatch/fleettest/statistics.h"

namespace posthatch::fleettest {

// The results of one run of a scenario.
struct ScenarioReport {
  std::string scenario;
  std::string mode;  // "run" or "simulate"
  uint64_t seed = 0;
  double duration_s = 0;
  std::string failure;  // why the run could not be completed; empty if it was
  Statistics statistics;
  std::vector<CheckResult> checks;
  std::vector<NotExamined> not_examined;
  std::vector<FaultOutcome> faults;
  std::vector<FaultOutcome> operations;
  std::optional<double> round_robin_hit_ratio;
  uint64_t trace_hash = 0;      // simulate only
  uint64_t behaviour_hash = 0;  // simulate only: the trace without the text of trace events
  bool deterministic = true;    // false: a second run of the seed had another trace hash
};

// Whether every applicable check had cases and no violation, and the run was complete.
bool Passed(const ScenarioReport& report);
// Runs all checks and statistics over the history.
void ExamineHistory(const Scenario& scenario, const RecordedHistory& history,
                    ScenarioReport* report);

// JSON reports of one run, and of several seeds of one scenario (docs/FLEETTEST.md lists the keys).
std::string ReportJson(const ScenarioReport& report);
std::string SeedsJson(const std::vector<ScenarioReport>& reports);
// Human-readable table of one run.
std::string SummaryTable(const ScenarioReport& report);
// Summary line of one seed, for runs of several seeds.
std::string SeedLine(const ScenarioReport& report);
absl::Status WriteFile(const std::string& path, const std::string& text);

}  // namespace posthatch::fleettest
