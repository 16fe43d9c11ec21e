#include "posthatch/fleettest/checks/drain_check.h"

#include <fmt/format.h>

#include <map>

#include "posthatch/fleettest/checks/bounds.h"

namespace posthatch::fleettest {

namespace {

constexpr std::string_view kId = "N7";
constexpr std::string_view kTitle = "draining workers and evacuated zones get no new work";

using PeriodsByName = std::map<std::string, std::vector<Period>>;

PeriodsByName EvacuatedZones(const RecordedHistory& history) {
  PeriodsByName periods;
  for (const std::string& zone : history.DetailValues("evacuate")) {
    periods[zone] = history.CertainPeriods("evacuate", "lift", zone, kEvacuationBoundNs);
  }
  return periods;
}

bool AnyContains(const PeriodsByName& by_name, int64_t time_ns) {
  for (const auto& [name, periods] : by_name) {
    for (const Period& period : periods) {
      if (period.Contains(time_ns)) return true;
    }
  }
  return false;
}

bool Contains(const PeriodsByName& by_name, const std::string& name, int64_t time_ns) {
  const auto found = by_name.find(name);
  if (found == by_name.end()) return false;
  for (const Period& period : found->second) {
    if (period.Contains(time_ns)) return true;
  }
  return false;
}

}  // namespace

// Examines all runs that started while the time limit of a draining mark or an evacuation had
// passed: each could have been sent to a draining back end or an evacuated zone.
CheckResult DrainCheck::Run(const RecordedHistory& history) const {
  CheckResult result(kId, kTitle);
  const PeriodsByName draining = history.DrainingPeriods(kDrainBoundNs);
  const PeriodsByName evacuated = EvacuatedZones(history);
  for (const RunRecord& record : history.runs()) {
    const RunStarted& run = *record.run;
    const int64_t time_ns = record.started_ns;
    if (!AnyContains(draining, time_ns) && !AnyContains(evacuated, time_ns)) continue;
    result.Examine();
    if (Contains(draining, run.backend(), time_ns)) {
      result.Violate(fmt::format("draining {} got request {} from {}", run.backend(), run.nonce(),
                                 run.gateway()));
    } else if (Contains(evacuated, run.zone(), time_ns)) {
      result.Violate(fmt::format("{} in evacuated zone {} got request {} from {}", run.backend(),
                                 run.zone(), run.nonce(), run.gateway()));
    }
  }
  return result;
}

}  // namespace posthatch::fleettest
