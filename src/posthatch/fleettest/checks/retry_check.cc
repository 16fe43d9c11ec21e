#include "posthatch/fleettest/checks/retry_check.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "posthatch/fleettest/checks/bounds.h"

namespace posthatch::fleettest {

namespace {

constexpr std::string_view kId = "N11";
constexpr std::string_view kTitle = "retries and load on workers in slow start are bounded";

constexpr int64_t kWindowNs = 10 * kSecondNs;
constexpr double kRetryBudget = 0.2;
// Windows with fewer first attempts are skipped as no load: two retries would exceed the budget.
constexpr uint64_t kMinFirstAttempts = 20;

constexpr int64_t kSlowStartNs = 10 * kSecondNs;
// In the first half of a linear slow start a worker gets on average a quarter of a warm worker's
// share. The check allows a full share plus this many runs of random variation.
constexpr uint64_t kSlowStartAllowance = 4;

struct Attempt {
  int64_t time_ns;
  bool retry;
};

// Attempts that reached a back end, plus the first attempts that reached none, inferred from their
// retries.
std::vector<Attempt> AttemptsOf(const RecordedHistory& history) {
  std::set<std::pair<std::string, std::string>> first_seen;  // nonce, gateway
  for (const RunRecord& record : history.runs()) {
    const RunStarted& run = *record.run;
    if (run.attempt_number() <= 1) first_seen.insert({run.nonce(), run.gateway()});
  }
  std::vector<Attempt> attempts;
  for (const RunRecord& record : history.runs()) {
    const RunStarted& run = *record.run;
    attempts.push_back({record.started_ns, run.attempt_number() > 1});
    const bool unseen_first =
        run.attempt_number() > 1 && first_seen.insert({run.nonce(), run.gateway()}).second;
    if (unseen_first) attempts.push_back({record.started_ns, false});
  }
  return attempts;
}

void CheckBudget(const RecordedHistory& history, CheckResult* result) {
  const std::vector<Attempt> attempts = AttemptsOf(history);
  size_t oldest = 0;
  uint64_t retries = 0;
  uint64_t firsts = 0;
  for (const Attempt& attempt : attempts) {
    ++(attempt.retry ? retries : firsts);
    while (attempts[oldest].time_ns <= attempt.time_ns - kWindowNs) {
      --(attempts[oldest].retry ? retries : firsts);
      ++oldest;
    }
    const bool full_window = attempt.time_ns - attempts.front().time_ns >= kWindowNs;
    if (!full_window || firsts < kMinFirstAttempts) continue;
    result->Examine();
    if (static_cast<double>(retries) <= kRetryBudget * static_cast<double>(firsts)) continue;
    result->Violate(fmt::format("{} retries for {} first attempts in the 10 s before {:.1f} s",
                                retries, firsts, Seconds(attempt.time_ns)));
  }
}

struct WorkerRuns {
  std::string model;
  std::string zone;
  struct Run {
    int64_t started_ns;
    int64_t up_since_ns;
    uint64_t revision;
  };
  std::vector<Run> runs;
};

// Counts the runs under `revision` that began in `period` at a worker that had completed its slow
// start; `warm` is set if there are any. A worker that serves another revision is no reference: it
// can't run the same requests.
uint64_t WarmRuns(const WorkerRuns& worker, const Period& period, uint64_t revision, bool* warm) {
  uint64_t count = 0;
  *warm = false;
  for (const WorkerRuns::Run& run : worker.runs) {
    if (!period.Contains(run.started_ns) || run.revision != revision) continue;
    if (period.from_ns - run.up_since_ns < kSlowStartNs) return 0;
    *warm = true;
    ++count;
  }
  return count;
}

bool Overlap(const Period& first, const Period& second) {
  return first.from_ns < second.until_ns && first.until_ns > second.from_ns;
}

bool AnyOverlap(const std::vector<Period>& periods, const Period& period) {
  return std::any_of(periods.begin(), periods.end(),
                     [&period](const Period& other) { return Overlap(other, period); });
}

// Whether the worker was affected by a fault, draining or evacuated at some time in `period`. Such
// a worker could not take its share of the load and is no reference for others.
bool Unavailable(const RecordedHistory& history, const std::string& name, const std::string& zone,
                 const Period& period) {
  const std::vector<FaultPeriod>& faults = history.faults();
  const bool faulted = std::any_of(faults.begin(), faults.end(), [&](const FaultPeriod& fault) {
    return fault.target == name && Overlap(fault.period, period);
  });
  if (faulted) return true;
  const std::map<std::string, std::vector<Period>> draining = history.DrainingPeriods(0);
  const auto marked = draining.find(name);
  if (marked != draining.end() && AnyOverlap(marked->second, period)) return true;
  return AnyOverlap(history.CertainPeriods("evacuate", "lift", zone, 0), period);
}

void CheckSlowStart(const RecordedHistory& history, CheckResult* result) {
  std::map<std::string, WorkerRuns> workers;
  std::set<std::pair<std::string, int64_t>> starts;
  for (const RunRecord& record : history.runs()) {
    const RunStarted& run = *record.run;
    if (run.model().empty()) continue;
    workers[run.backend()].model = run.model();
    workers[run.backend()].zone = run.zone();
    workers[run.backend()].runs.push_back(
        {record.started_ns, run.up_since_ns(), run.model_revision()});
    starts.insert({run.backend(), run.up_since_ns()});
  }
  for (const auto& [name, up_since_ns] : starts) {
    const Period period{up_since_ns, up_since_ns + kSlowStartNs / 2};
    uint64_t slow_start_runs = 0;
    uint64_t revision = 0;
    for (const WorkerRuns::Run& run : workers[name].runs) {
      if (run.up_since_ns != up_since_ns || !period.Contains(run.started_ns)) continue;
      ++slow_start_runs;
      revision = run.revision;
    }
    uint64_t warm_runs = 0;
    uint64_t warm_workers = 0;
    for (const auto& [other, runs] : workers) {
      if (other == name || runs.model != workers[name].model) continue;
      if (Unavailable(history, other, runs.zone, period)) continue;
      bool warm = false;
      warm_runs += WarmRuns(runs, period, revision, &warm);
      if (warm) ++warm_workers;
    }
    if (warm_workers == 0) continue;
    result->Examine();
    const double mean = static_cast<double>(warm_runs) / static_cast<double>(warm_workers);
    if (static_cast<double>(slow_start_runs) <= mean + kSlowStartAllowance) continue;
    result->Violate(
        fmt::format("{} in slow start got {} runs in its first 5 s, warm workers {:.1f} each", name,
                    slow_start_runs, mean));
  }
}

}  // namespace

CheckResult RetryCheck::Run(const RecordedHistory& history) const {
  CheckResult result(kId, kTitle);
  CheckBudget(history, &result);
  CheckSlowStart(history, &result);
  return result;
}

}  // namespace posthatch::fleettest
