#include "posthatch/fleettest/checks/configuration_check.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

#include "posthatch/fleettest/checks/bounds.h"

namespace posthatch::fleettest {

namespace {

constexpr std::string_view kId = "N8";
constexpr std::string_view kTitle = "the acknowledged configuration is in force and never reverts";

constexpr uint32_t kUnauthorized = 401;

enum class KeyOutcome { kUnknown, kAccepted, kRejected };

// How the gateway treated the call's key under its configuration. Rejections for other reasons (no
// lease, overload) are inconclusive.
KeyOutcome KeyOutcomeOf(const RecordedHistory& history, const CallRecord& call) {
  if (call.ended != nullptr && call.ended->status() == kUnauthorized) return KeyOutcome::kRejected;
  if (call.succeeded()) return KeyOutcome::kAccepted;
  if (!history.RunsOf(call.sent->nonce()).empty()) return KeyOutcome::kAccepted;
  return KeyOutcome::kUnknown;
}

struct KeyProbeCall {
  const CallRecord* call;
  KeyOutcome outcome;
};
using CallsByKey = std::map<std::string, std::vector<KeyProbeCall>>;

CallsByKey GroupByKey(const RecordedHistory& history) {
  CallsByKey calls;
  for (const CallRecord& call : history.calls()) {
    if (call.sent->key_id().empty()) continue;
    const KeyOutcome outcome = KeyOutcomeOf(history, call);
    if (outcome != KeyOutcome::kUnknown) calls[call.sent->key_id()].push_back({&call, outcome});
  }
  return calls;
}

// A call sent more than 2 s after the acknowledgement must be treated according to the change.
void CheckInForce(const RecordedHistory& history, const CallsByKey& calls, std::string_view on,
                  std::string_view off, KeyOutcome expected, CheckResult* result) {
  for (const auto& [key, probes] : calls) {
    for (const Period& period : history.CertainPeriods(on, off, key, kConfigurationBoundNs)) {
      for (const KeyProbeCall& probe : probes) {
        const CallRecord& call = *probe.call;
        // A response after the period may already reflect a change that undoes this one.
        if (!period.Contains(call.sent_ns) || call.ended_ns >= period.until_ns) continue;
        result->Examine();
        if (probe.outcome == expected) continue;
        result->Violate(fmt::format(
            "{} {} key {} {:.1f} s past the bound after the acknowledgement", call.sent->gateway(),
            expected == KeyOutcome::kRejected ? "accepted revoked" : "rejected new", key,
            Seconds(call.sent_ns - period.from_ns)));
      }
    }
  }
}

// The time at which the change acknowledged at `acknowledged_ns` was first sent.
int64_t FirstSentOf(const RecordedHistory& history, std::string_view on, const std::string& key,
                    int64_t acknowledged_ns) {
  for (const ChangeRecord& change : history.changes()) {
    if (change.HasDetail(on, key) && change.acknowledged_ns() == acknowledged_ns) {
      return change.first_sent_ns();
    }
  }
  return acknowledged_ns;
}

// A gateway that has applied a change must not revert to the configuration before it.
void CheckNoReversion(const RecordedHistory& history, const CallsByKey& calls, std::string_view on,
                      std::string_view off, KeyOutcome expected, CheckResult* result) {
  for (const auto& [key, probes] : calls) {
    for (const Period& period : history.CertainPeriods(on, off, key, 0)) {
      // The end of the first call, after the change was sent, that shows the change as applied.
      // Keyed by gateway.
      std::map<std::string, int64_t> first_shown_ns;
      const int64_t sent_ns = FirstSentOf(history, on, key, period.from_ns);
      for (const KeyProbeCall& probe : probes) {
        const bool shows = probe.outcome == expected && probe.call->sent_ns >= sent_ns &&
                           probe.call->ended_ns < period.until_ns;
        if (!shows) continue;
        int64_t& earliest =
            first_shown_ns.try_emplace(probe.call->sent->gateway(), kNever).first->second;
        earliest = std::min(earliest, probe.call->ended_ns);
      }
      for (const KeyProbeCall& probe : probes) {
        const auto shown = first_shown_ns.find(probe.call->sent->gateway());
        if (shown == first_shown_ns.end() || probe.call->sent_ns <= shown->second) continue;
        if (probe.call->ended_ns >= period.until_ns) continue;
        result->Examine();
        if (probe.outcome == expected) continue;
        result->Violate(
            fmt::format("{} reverted to an older configuration: key {}", shown->first, key));
      }
    }
  }
}

void CheckReads(const RecordedHistory& history, CheckResult* result) {
  for (const HistoryEvent& event : history.events()) {
    if (!event.has_state_read()) continue;
    const StateRead& read = event.state_read();
    result->Examine();
    std::set<std::string> applied;
    for (const std::string& request_id : read.request_ids()) {
      if (!applied.insert(request_id).second) {
        result->Violate(fmt::format("change {} was applied twice", request_id));
      }
    }
  }
}

// A resent change must not be rejected once it was applied, and all its acknowledgements must
// report the same version.
void CheckResends(const RecordedHistory& history, CheckResult* result) {
  std::set<std::string> in_history;
  for (const HistoryEvent& event : history.events()) {
    if (!event.has_state_read()) continue;
    in_history.insert(event.state_read().request_ids().begin(),
                      event.state_read().request_ids().end());
  }
  for (const ChangeRecord& change : history.changes()) {
    if (change.sent_ns.size() < 2) continue;
    result->Examine();
    std::set<uint64_t> versions;
    const ChangeAnswered* rejection = nullptr;
    for (const auto& [time_ns, response] : change.responses) {
      if (response->acknowledged()) versions.insert(response->version());
      if (response->refused()) rejection = response;
    }
    const bool applied = !versions.empty() || in_history.count(change.request_id) > 0;
    if (rejection != nullptr && applied) {
      result->Violate(fmt::format("change {} was applied, but its resend was rejected as {}",
                                  change.request_id, rejection->code()));
    }
    if (versions.size() > 1) {
      result->Violate(
          fmt::format("change {} was acknowledged as several versions", change.request_id));
    }
  }
}

void CheckRaces(const RecordedHistory& history, CheckResult* result) {
  std::map<uint64_t, std::string> winners;
  for (const ChangeRecord& change : history.changes()) {
    if (change.kind != "configuration" || !change.acknowledged()) continue;
    const uint64_t version = change.acknowledged_version();
    if (version == 0) continue;
    result->Examine();
    const auto [winner, first] = winners.emplace(version, change.request_id);
    if (!first) {
      result->Violate(fmt::format("changes {} and {} were both acknowledged as version {}",
                                  winner->second, change.request_id, version));
    }
    if (change.expected_version > 0 && version != change.expected_version + 1) {
      result->Violate(fmt::format("change {} expected version {} and was acknowledged as {}",
                                  change.request_id, change.expected_version, version));
    }
  }
}

}  // namespace

CheckResult ConfigurationCheck::Run(const RecordedHistory& history) const {
  CheckResult result(kId, kTitle);
  const CallsByKey calls = GroupByKey(history);
  CheckInForce(history, calls, "revoke", "accept", KeyOutcome::kRejected, &result);
  CheckInForce(history, calls, "accept", "revoke", KeyOutcome::kAccepted, &result);
  CheckNoReversion(history, calls, "revoke", "accept", KeyOutcome::kRejected, &result);
  CheckNoReversion(history, calls, "accept", "revoke", KeyOutcome::kAccepted, &result);
  CheckReads(history, &result);
  CheckResends(history, &result);
  CheckRaces(history, &result);
  return result;
}

}  // namespace posthatch::fleettest
