#include "posthatch/fleettest/checks/not_executed_check.h"

#include <fmt/format.h>

#include <map>
#include <utility>

namespace posthatch::fleettest {

namespace {

constexpr std::string_view kId = "N2";
constexpr std::string_view kTitle = "\"not executed\" is reported only for requests that never run";

// Whether another call with the same nonce can have caused the run: one that was sent before the
// run started and didn't end with executed "no".
bool ExplainedByOtherCall(const RecordedHistory& history, const CallRecord& rejected,
                          const RunRecord& run) {
  for (const CallRecord* call : history.CallsOf(rejected.sent->nonce())) {
    if (call == &rejected || call->sent_ns > run.started_ns) continue;
    if (call->ended == nullptr || call->ended->executed() != "no") return true;
  }
  return false;
}

}  // namespace

CheckResult NotExecutedCheck::Run(const RecordedHistory& history) const {
  CheckResult result(kId, kTitle);
  std::multimap<std::pair<std::string, std::string>, const RunRecord*> runs_by_key;
  for (const RunRecord& record : history.runs()) {
    const RunStarted& run = *record.run;
    if (!run.idempotency_key().empty()) {
      runs_by_key.emplace(std::make_pair(run.tenant(), run.idempotency_key()), &record);
    }
  }
  for (const CallRecord& call : history.calls()) {
    if (call.ended == nullptr || call.ended->executed() != "no") continue;
    result.Examine();
    const std::string& key = call.sent->idempotency_key();
    const RunRecord* run_record = nullptr;
    if (!key.empty()) {
      const auto found = runs_by_key.find({call.sent->tenant(), key});
      if (found != runs_by_key.end()) run_record = found->second;
    }
    for (const RunRecord* run : history.RunsOf(call.sent->nonce())) {
      if (!key.empty() || !ExplainedByOtherCall(history, call, *run)) run_record = run;
    }
    if (run_record == nullptr) continue;
    result.Violate(
        fmt::format("request {} (key \"{}\") was rejected as not executed ({}), but run {} "
                    "started at {}",
                    call.sent->nonce(), key, call.ended->code(), run_record->run->run(),
                    run_record->run->backend()));
  }
  return result;
}

}  // namespace posthatch::fleettest
