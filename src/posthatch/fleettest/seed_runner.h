#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "posthatch/fleettest/report.h"
#include "posthatch/fleettest/scenario.h"
#include "posthatch/server/process_factory.h"

namespace posthatch::fleettest {

struct SeedRunOptions {
  uint64_t first_seed = 1;
  uint64_t last_seed = 1;
  uint32_t threads = 4;             // seeds run in parallel, each in its own SimWorld
  bool verify_determinism = false;  // run each seed twice: the trace hashes must be equal
  // Called when a seed ends, from any thread but never concurrently.
  std::function<void(const ScenarioReport&)> on_report;
  // Folder for the histories, one file per seed; empty: not written.
  std::string history_folder;
  // Checked before and during each seed.
  std::function<bool()> interrupted;
};

// Runs one seed of a scenario in the simulator.
ScenarioReport SimulateSeed(const Scenario& scenario, uint64_t seed,
                            server::ProcessFactory* factory, const SeedRunOptions& options);

// Runs all seeds and returns their reports ordered by seed. `factory` is used by several threads
// concurrently.
std::vector<ScenarioReport> SimulateSeeds(const Scenario& scenario, const SeedRunOptions& options,
                                          server::ProcessFactory* factory);

}  // namespace posthatch::fleettest
