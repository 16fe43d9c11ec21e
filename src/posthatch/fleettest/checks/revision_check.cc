#include "posthatch/fleettest/checks/revision_check.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

#include "posthatch/fleettest/checks/bounds.h"

namespace posthatch::fleettest {

namespace {

constexpr std::string_view kId = "N6";
constexpr std::string_view kTitle = "no old weights, no two holders of a lease";

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
      const bool concerned = record.started_ns > bound_ns &&
                             std::find(models.begin(), models.end(), run.model()) != models.end();
      if (!concerned) continue;
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

struct NewestOrder {
  uint64_t token = 0;
  std::string holder;
};

void CheckOrders(const RecordedHistory& history, CheckResult* result) {
  std::map<std::string, NewestOrder> newest_by_worker;
  for (const HistoryEvent& event : history.events()) {
    if (!event.has_order_seen()) continue;
    const OrderSeen& order = event.order_seen();
    result->Examine();
    if (!order.obeyed()) continue;
    NewestOrder& newest = newest_by_worker[order.worker()];
    if (order.fencing_token() < newest.token) {
      result->Violate(fmt::format("{} obeyed token {} of {} after token {} of {}", order.worker(),
                                  order.fencing_token(), order.holder(), newest.token,
                                  newest.holder));
    } else if (order.fencing_token() == newest.token && order.holder() != newest.holder) {
      result->Violate(fmt::format("{} obeyed token {} of both {} and {}", order.worker(),
                                  newest.token, newest.holder, order.holder()));
    } else {
      newest = {order.fencing_token(), order.holder()};
    }
  }
}

}  // namespace

CheckResult RevisionCheck::Run(const RecordedHistory& history) const {
  CheckResult result(kId, kTitle);
  CheckBlocks(history, &result);
  CheckServedRevisions(history, &result);
  CheckOrders(history, &result);
  return result;
}

}  // namespace posthatch::fleettest
