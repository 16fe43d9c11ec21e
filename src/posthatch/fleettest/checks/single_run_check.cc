#include "posthatch/fleettest/checks/single_run_check.h"

#include <fmt/format.h>

#include <map>
#include <set>
#include <utility>

namespace posthatch::fleettest {

namespace {

constexpr std::string_view kId = "N1";
constexpr std::string_view kTitle = "a non-idempotent operation starts at most once";

// Pair of tenant and idempotency key.
using TenantKey = std::pair<std::string, std::string>;

TenantKey KeyOf(const RecordedHistory& history, const RunStarted& run) {
  for (const CallRecord* call : history.CallsOf(run.nonce())) {
    if (!call->sent->idempotency_key().empty()) {
      return {call->sent->tenant(), call->sent->idempotency_key()};
    }
  }
  return {run.tenant(), run.idempotency_key()};
}

}  // namespace

CheckResult SingleRunCheck::Run(const RecordedHistory& history) const {
  CheckResult result(kId, kTitle);
  std::map<TenantKey, std::vector<const RunRecord*>> runs_by_key;
  for (const RunRecord& record : history.runs()) {
    const TenantKey key = KeyOf(history, *record.run);
    if (!key.second.empty()) runs_by_key[key].push_back(&record);
  }
  for (const auto& [key, runs] : runs_by_key) {
    result.Examine();
    if (runs.size() < 2) continue;
    result.Violate(fmt::format("key {} of {} started {} times: at {} by {} and at {} by {}",
                               key.second, key.first, runs.size(), runs[0]->run->backend(),
                               runs[0]->run->gateway(), runs[1]->run->backend(),
                               runs[1]->run->gateway()));
  }
  return result;
}

}  // namespace posthatch::fleettest
