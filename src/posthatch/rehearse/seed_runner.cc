#include "posthatch/rehearse/seed_runner.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>
#include <utility>

#include "posthatch/rehearse/rehearsal.h"
#include "posthatch/rehearse/simulated_fleet.h"

namespace posthatch::rehearse {

namespace {

double BaselineHitRatio(const Scenario& scenario, uint64_t seed, daemon::ProcessFactory* factory,
                        const RehearsalOptions& options) {
  RehearsalReport report;
  SimulatedFleet fleet(&scenario, seed, factory, /*round_robin=*/true);
  RehearsalOptions load_only = options;
  load_only.with_timeline = false;
  Rehearsal(&scenario, &fleet, load_only).Run(&report);
  return report.statistics.prefix_hit_ratio;
}

}  // namespace

RehearsalReport SimulateSeed(const Scenario& scenario, uint64_t seed,
                             daemon::ProcessFactory* factory,
                             const std::function<bool()>& interrupted) {
  RehearsalReport report;
  report.mode = "simulate";
  report.seed = seed;
  RehearsalOptions options;
  options.interrupted = interrupted;
  {
    SimulatedFleet fleet(&scenario, seed, factory, /*round_robin=*/false);
    Rehearsal(&scenario, &fleet, options).Run(&report);
  }
  if (scenario.round_robin_baseline && report.failure.empty()) {
    report.round_robin_hit_ratio = BaselineHitRatio(scenario, seed, factory, options);
  }
  return report;
}

std::vector<RehearsalReport> SimulateSeeds(const Scenario& scenario, const SeedRunOptions& options,
                                           daemon::ProcessFactory* factory) {
  std::vector<RehearsalReport> reports(options.last_seed - options.first_seed + 1);
  std::atomic<uint64_t> next{0};
  std::mutex reporting;
  const auto work = [&] {
    while (true) {
      const uint64_t index = next.fetch_add(1);
      if (index >= reports.size()) return;
      const uint64_t seed = options.first_seed + index;
      RehearsalReport report = SimulateSeed(scenario, seed, factory, options.interrupted);
      if (options.verify_determinism) {
        const RehearsalReport again = SimulateSeed(scenario, seed, factory, options.interrupted);
        report.deterministic = again.trace_hash == report.trace_hash;
      }
      const std::lock_guard<std::mutex> lock(reporting);
      if (options.on_report) options.on_report(report);
      reports[index] = std::move(report);
    }
  };
  std::vector<std::thread> threads;
  const uint64_t count = std::min<uint64_t>(std::max(options.threads, 1u), reports.size());
  for (uint64_t thread = 0; thread < count; ++thread) threads.emplace_back(work);
  for (std::thread& thread : threads) thread.join();
  return reports;
}

}  // namespace posthatch::rehearse
