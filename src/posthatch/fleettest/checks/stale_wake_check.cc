#include "posthatch/fleettest/checks/stale_wake_check.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>

#include "posthatch/fleettest/checks/bounds.h"

namespace posthatch::fleettest {

namespace {

constexpr std::string_view kId = "N10";
constexpr std::string_view kTitle = "no stale state is used after a long freeze or partition";

constexpr int64_t kLongFreezeNs = 20 * kSecondNs;
constexpr int64_t kWatchPeriodNs = 30 * kSecondNs;

using DrainingByBackend = std::map<std::string, std::vector<Period>>;

struct Wake {
  std::string process;
  bool controller = false;
  // True for a gateway that froze: no request that it sent before the freeze is still in flight
  // when it wakes, so every run that starts later was decided after waking. After a partition, and
  // at other gateways, a request may have been sent before and delivered late.
  bool decides_at_start = false;
  Period watch_period;
};

std::vector<Wake> LongWakes(const RecordedHistory& history) {
  std::vector<Wake> wakes;
  for (const FaultPeriod& fault : history.faults()) {
    const bool unresponsive = fault.kind == "freeze" || fault.kind == "cut";
    const bool ended = fault.period.until_ns != kNever;
    if (!unresponsive || !ended || fault.period.until_ns - fault.period.from_ns < kLongFreezeNs)
      continue;
    const int64_t woken_ns = fault.period.until_ns;
    const bool controller = fault.target.rfind("controller", 0) == 0;
    const bool froze = fault.kind == "freeze" && !controller;
    wakes.push_back({fault.target, controller, froze, {woken_ns, woken_ns + kWatchPeriodNs}});
  }
  return wakes;
}

bool Within(const std::vector<Period>& periods, int64_t time_ns) {
  for (const Period& period : periods) {
    if (period.Contains(time_ns)) return true;
  }
  return false;
}

uint64_t NewestRevision(const RecordedHistory& history, const std::string& model, int64_t time_ns) {
  uint64_t newest = 0;
  for (const ChangeRecord& change : history.changes()) {
    const bool counts = change.kind == "model_revision" && change.HasDetail("model", model) &&
                        change.acknowledged() &&
                        change.acknowledged_ns() + kConfigurationBoundNs < time_ns;
    if (counts) newest = std::max(newest, change.acknowledged_version());
  }
  return newest;
}

bool UsesRevokedKey(const RecordedHistory& history, const RunStarted& run) {
  const std::vector<const CallRecord*> calls = history.CallsOf(run.nonce());
  if (calls.empty()) return false;
  for (const CallRecord* call : calls) {
    const std::string& key = call->sent->key_id();
    if (!Within(history.CertainPeriods("revoke", "accept", key, kConfigurationBoundNs),
                call->sent_ns)) {
      return false;
    }
  }
  return true;
}

bool CrossesIsolation(const RecordedHistory& history, const RunStarted& run, int64_t time_ns) {
  for (const ReusedBlocks& reused : run.reused()) {
    const std::string& maker = reused.made_by_tenant();
    if (maker.empty() || maker == run.tenant()) continue;
    for (const std::string& tenant : {maker, run.tenant()}) {
      if (Within(history.CertainPeriods("isolate", "share", tenant, kConfigurationBoundNs),
                 time_ns)) {
        return true;
      }
    }
  }
  return false;
}

// The earliest time at which the gateway can have decided on this run: not before the first call
// was sent.
int64_t EarliestDecision(const RecordedHistory& history, const Wake& wake,
                         const RunRecord& record) {
  int64_t earliest_ns = record.started_ns;
  if (wake.decides_at_start) return earliest_ns;
  for (const CallRecord* call : history.CallsOf(record.run->nonce())) {
    earliest_ns = std::min(earliest_ns, call->sent_ns);
  }
  return earliest_ns;
}

// Whether `periods` contain both times. A decision is not stale if the state changed between the
// decision and the start of the run.
bool WithinBoth(const std::vector<Period>& periods, int64_t decided_ns, int64_t started_ns) {
  return Within(periods, decided_ns) && Within(periods, started_ns);
}

// The stale state that the decision on this run was based on; nullopt if there is none.
std::optional<std::string> StaleDecision(const RecordedHistory& history,
                                         const DrainingByBackend& draining, const RunRecord& record,
                                         int64_t decided_ns) {
  const RunStarted& run = *record.run;
  const int64_t time_ns = record.started_ns;
  const auto marked = draining.find(run.backend());
  if (marked != draining.end() && WithinBoth(marked->second, decided_ns, time_ns)) {
    return "a draining back end";
  }
  if (WithinBoth(history.CertainPeriods("evacuate", "lift", run.zone(), kEvacuationBoundNs),
                 decided_ns, time_ns)) {
    return "an evacuated zone";
  }
  if (!run.model().empty() &&
      run.expected_revision() < NewestRevision(history, run.model(), decided_ns)) {
    return "an old model revision";
  }
  if (UsesRevokedKey(history, run)) return "a revoked key";
  if (CrossesIsolation(history, run, decided_ns)) return "another tenant's blocks";
  return std::nullopt;
}

void CheckRuns(const RecordedHistory& history, const Wake& wake, CheckResult* result) {
  const DrainingByBackend draining = history.DrainingPeriods(kDrainBoundNs);
  for (const RunRecord& record : history.runs()) {
    const bool relevant = wake.watch_period.Contains(record.started_ns) &&
                          (wake.controller || record.run->gateway() == wake.process);
    if (!relevant) continue;
    result->Examine();
    const int64_t decided_ns = EarliestDecision(history, wake, record);
    if (const auto stale = StaleDecision(history, draining, record, decided_ns)) {
      result->Violate(fmt::format("{:.1f} s after {} woke, {} used {} for request {}",
                                  Seconds(record.started_ns - wake.watch_period.from_ns),
                                  wake.process, record.run->gateway(), *stale,
                                  record.run->nonce()));
    }
  }
}

// Checks the commands of the woken process for a fencing token that is older than one a worker has
// already seen.
void CheckCommands(const RecordedHistory& history, const Wake& wake, CheckResult* result) {
  std::map<std::string, const OrderSeen*> newest_by_worker;
  for (const HistoryEvent& event : history.events()) {
    if (!event.has_order_seen()) continue;
    const OrderSeen& command = event.order_seen();
    const OrderSeen*& newest = newest_by_worker[command.worker()];
    if (command.holder() == wake.process && wake.watch_period.Contains(event.time_ns())) {
      result->Examine();
      if (newest != nullptr && command.fencing_token() < newest->fencing_token()) {
        result->Violate(fmt::format(
            "{} woke and sent {} a command under token {}, superseded by {} with token {}",
            wake.process, command.worker(), command.fencing_token(), newest->holder(),
            newest->fencing_token()));
      }
    }
    if (newest == nullptr || command.fencing_token() > newest->fencing_token()) newest = &command;
  }
}

}  // namespace

CheckResult StaleWakeCheck::Run(const RecordedHistory& history) const {
  CheckResult result(kId, kTitle);
  for (const Wake& wake : LongWakes(history)) {
    CheckRuns(history, wake, &result);
    CheckCommands(history, wake, &result);
  }
  return result;
}

}  // namespace posthatch::fleettest
