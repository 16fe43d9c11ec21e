#include "posthatch/fleettest/checks/isolation_check.h"

#include <fmt/format.h>

#include <map>

#include "posthatch/fleettest/checks/bounds.h"

namespace posthatch::fleettest {

namespace {

constexpr std::string_view kId = "N5";
constexpr std::string_view kTitle =
    "no request runs as another tenant or reuses blocks across tenant isolation";

using IsolatedPeriods = std::map<std::string, std::vector<Period>>;

IsolatedPeriods PeriodsOf(const RecordedHistory& history) {
  IsolatedPeriods periods;
  for (const std::string& tenant : history.DetailValues("isolate")) {
    periods[tenant] = history.CertainPeriods("isolate", "share", tenant, kConfigurationBoundNs);
  }
  return periods;
}

bool IsolatedAt(const IsolatedPeriods& periods, const std::string& tenant, int64_t time_ns) {
  const auto found = periods.find(tenant);
  if (found == periods.end()) return false;
  for (const Period& period : found->second) {
    if (period.Contains(time_ns)) return true;
  }
  return false;
}

}  // namespace

CheckResult IsolationCheck::Run(const RecordedHistory& history) const {
  CheckResult result(kId, kTitle);
  const IsolatedPeriods isolated = PeriodsOf(history);
  for (const RunRecord& record : history.runs()) {
    const RunStarted& run = *record.run;
    const std::vector<const CallRecord*> calls = history.CallsOf(run.nonce());
    if (calls.empty()) continue;
    result.Examine();
    const std::string& tenant = calls.front()->sent->tenant();
    if (run.tenant() != tenant) {
      result.Violate(fmt::format("request {} of {} ran as {} at {}", run.nonce(), tenant,
                                 run.tenant(), run.backend()));
      continue;
    }
    for (const ReusedBlocks& reused : run.reused()) {
      const std::string& owner = reused.made_by_tenant();
      if (owner.empty() || owner == tenant) continue;
      const bool forbidden = IsolatedAt(isolated, tenant, record.started_ns) ||
                             IsolatedAt(isolated, owner, record.started_ns);
      if (!forbidden) continue;
      result.Violate(fmt::format("request {} of {} used {} blocks made by {} at {}", run.nonce(),
                                 tenant, reused.blocks(), owner, run.backend()));
      break;
    }
  }
  return result;
}

}  // namespace posthatch::fleettest
