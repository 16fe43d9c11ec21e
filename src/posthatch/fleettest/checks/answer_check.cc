#include "posthatch/fleettest/checks/answer_check.h"

#include <fmt/format.h>

namespace posthatch::fleettest {

namespace {

constexpr std::string_view kId = "N3";
constexpr std::string_view kTitle = "a response matches its request and is complete";

}  // namespace

CheckResult ResponseCheck::Run(const RecordedHistory& history) const {
  CheckResult result(kId, kTitle);
  for (const CallRecord& call : history.calls()) {
    if (!call.succeeded()) continue;
    const CallEnded& ended = *call.ended;
    const std::string& nonce = call.sent->nonce();
    const bool echoed = !ended.echoed_nonce().empty();
    if (!ended.complete() && !echoed) continue;
    result.Examine();
    if (echoed ? ended.echoed_nonce() != nonce : !call.sent->probe()) {
      result.Violate(
          fmt::format("request {} got the response to \"{}\"", nonce, ended.echoed_nonce()));
      continue;
    }
    if (ended.complete() && !ended.body_intact()) {
      result.Violate(fmt::format(
          "request {}: the response ended as complete but bytes are missing or altered {}", nonce,
          ended.fault()));
      continue;
    }
    const RunRecord* run = ended.run().empty() ? nullptr : history.FindRun(ended.run());
    if (run != nullptr && run->run->nonce() != nonce) {
      result.Violate(fmt::format("request {} got run {} of request {}", nonce, ended.run(),
                                 run->run->nonce()));
    }
  }
  return result;
}

}  // namespace posthatch::fleettest
