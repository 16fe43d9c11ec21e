#include "posthatch/fleettest/seed_runner.h"

#include <fmt/format.h>
#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>
#include <utility>

#include "posthatch/fleettest/scenario_run.h"
#include "posthatch/fleettest/simulated_fleet.h"

namespace posthatch::fleettest {

namespace {

absl::Status WriteHistory(const std::string& path, const std::vector<HistoryEvent>& events) {
  std::string lines;
  for (const HistoryEvent& event : events) {
    std::string line;
    const auto status = google::protobuf::util::MessageToJsonString(event, &line);
    if (!status.ok()) return absl::InternalError("an event can't be converted to JSON");
    lines += line + "\n";
  }
  return WriteFile(path, lines);
}

double BaselineHitRatio(const Scenario& scenario, uint64_t seed, server::ProcessFactory* factory,
                        const ScenarioRunOptions& options) {
  ScenarioReport report;
  SimulatedFleet fleet(&scenario, seed, factory, /*round_robin=*/true);
  ScenarioRun(&scenario, &fleet, options).Run(&report);
  return report.statistics.prefix_hit_ratio;
}

}  // namespace

ScenarioReport SimulateSeed(const Scenario& scenario, uint64_t seed,
                            server::ProcessFactory* factory, const SeedRunOptions& seed_options) {
  ScenarioReport report;
  report.mode = "simulate";
  report.seed = seed;
  ScenarioRunOptions options;
  options.interrupted = seed_options.interrupted;
  std::vector<HistoryEvent> events;
  if (!seed_options.history_folder.empty()) options.keep_history = &events;
  {
    SimulatedFleet fleet(&scenario, seed, factory, /*round_robin=*/false);
    ScenarioRun(&scenario, &fleet, options).Run(&report);
  }
  if (options.keep_history != nullptr) {
    const std::string file = fmt::format("{}/seed-{}.jsonl", seed_options.history_folder, seed);
    const absl::Status written = WriteHistory(file, events);
    if (!written.ok()) report.failure = written.ToString();
    options.keep_history = nullptr;
  }
  if (scenario.round_robin_baseline && report.failure.empty()) {
    report.round_robin_hit_ratio = BaselineHitRatio(scenario, seed, factory, options);
  }
  return report;
}

std::vector<ScenarioReport> SimulateSeeds(const Scenario& scenario, const SeedRunOptions& options,
                                          server::ProcessFactory* factory) {
  std::vector<ScenarioReport> reports(options.last_seed - options.first_seed + 1);
  std::atomic<uint64_t> next{0};
  std::mutex report_mutex;
  const auto run_seeds = [&] {
    while (true) {
      const uint64_t index = next.fetch_add(1);
      if (index >= reports.size()) return;
      const uint64_t seed = options.first_seed + index;
      ScenarioReport report = SimulateSeed(scenario, seed, factory, options);
      if (options.verify_determinism) {
        const ScenarioReport second_report = SimulateSeed(scenario, seed, factory, options);
        report.deterministic = second_report.trace_hash == report.trace_hash;
      }
      const std::lock_guard<std::mutex> lock(report_mutex);
      if (options.on_report) options.on_report(report);
      reports[index] = std::move(report);
    }
  };
  std::vector<std::thread> threads;
  const uint64_t count = std::min<uint64_t>(std::max(options.threads, 1u), reports.size());
  threads.reserve(count);
  for (uint64_t thread = 0; thread < count; ++thread) threads.emplace_back(run_seeds);
  for (std::thread& thread : threads) thread.join();
  return reports;
}

}  // namespace posthatch::fleettest
