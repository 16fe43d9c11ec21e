#include "posthatch/fleettest/checks/revision_check.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

#include "posthatch/fleettest/checks/bounds.h"

namespace posthatch::fleettest {

namespace {

constexpr std::string_view kId = "N6";
constexpr std::string_view kTitle = "no outdated weights, and one holder per lease";

void CheckBlocks(const RecordedHistory& history, CheckResult* result) {
  for (const RunRecord& record : history.runs()) {
    const RunStarted& run = *record.run;
    for (const ReusedBlocks& reused : run.reused()) {
      result->Examine();
      if (reused.made_under_revision() == run.model_revision()) continue;
      result->Violate(fmt::format(
          "request {} ran under revision {} of {} on blocks of revision {} at {}", run.nonce(),
          run.model_revision(), run.model(), reused.made_under_revision(), run.backend()));
      break;
    }
  }
}

void CheckServedRevisions(const RecordedHistory& history, CheckResult* result) {
  for (const ChangeRecord& change : history.changes()) {
    if (change.kind != "model_revision" || !change.acknowledged()) continue;
    const std::vector<std::string> models = change.Details("model");
    const int64_t bound_ns = change.acknowledged_ns() + kRevisionBoundNs;
    const uint64_t revision = change.acknowledged_version();
    for (const RunRecord& record : history.runs()) {
      const RunStarted& run = *record.run;
      const bool relevant = record.started_ns > bound_ns &&
                            std::find(models.begin(), models.end(), run.model()) != models.end();
      if (!relevant) continue;
      result->Examine();
      if (run.model_revision() >= revision) continue;
      result->Violate(
          fmt::format("{} ran request {} under revision {} of {} {:.1f} s after revision {} "
                      "was acknowledged",
                      run.backend(), run.nonce(), run.model_revision(), run.model(),
                      Seconds(record.started_ns - change.acknowledged_ns()), revision));
    }
  }
}

struct NewestCommand {
  uint64_t token = 0;
  std::string lease_holder;
};

void CheckCommands(const RecordedHistory& history, CheckResult* result) {
  std::map<std::string, NewestCommand> newest_by_worker;
  for (const HistoryEvent& event : history.events()) {
    if (!event.has_order_seen()) continue;
    const OrderSeen& command = event.order_seen();
    result->Examine();
    if (!command.obeyed()) continue;
    NewestCommand& newest = newest_by_worker[command.worker()];
    if (command.fencing_token() < newest.token) {
      result->Violate(fmt::format("{} obeyed token {} of {} after token {} of {}", command.worker(),
                                  command.fencing_token(), command.holder(), newest.token,
                                  newest.lease_holder));
    } else if (command.fencing_token() == newest.token && command.holder() != newest.lease_holder) {
      result->Violate(fmt::format("{} obeyed token {} of both {} and {}", command.worker(),
                                  newest.token, newest.lease_holder, command.holder()));
    } else {
      newest = {command.fencing_token(), command.holder()};
    }
  }
}

}  // namespace

CheckResult RevisionCheck::Run(const RecordedHistory& history) const {
  CheckResult result(kId, kTitle);
  CheckBlocks(history, &result);
  CheckServedRevisions(history, &result);
  CheckCommands(history, &result);
  return result;
}

}  // namespace posthatch::fleettest
