#include "posthatch/fleettest/checks/durability_check.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <set>

#include "posthatch/fleettest/checks/bounds.h"

namespace posthatch::fleettest {

namespace {

constexpr std::string_view kId = "N9";
constexpr std::string_view kTitle = "acknowledged changes are durable";

bool LiftedBetween(const RecordedHistory& history, const std::string& name, int64_t after_ns,
                   int64_t time_ns) {
  for (const ChangeRecord& change : history.changes()) {
    const bool lifts = change.kind == "lift" && change.HasDetail("name", name);
    if (lifts && change.first_sent_ns() >= after_ns && change.first_sent_ns() <= time_ns)
      return true;
  }
  return false;
}

template <typename Repeated>
bool Holds(const Repeated& values, const std::string& value) {
  return std::find(values.begin(), values.end(), value) != values.end();
}

std::optional<std::string> MissingIn(const RecordedHistory& history, const ChangeRecord& change,
                                     const StateRead& read, int64_t read_ns) {
  const uint64_t version = change.acknowledged_version();
  if (change.kind == "configuration") {
    if (read.configuration_version() < version) {
      return fmt::format("version {} is newest, {} was acknowledged", read.configuration_version(),
                         version);
    }
    const bool listed = version >= read.oldest_version();
    if (listed && !Holds(read.request_ids(), change.request_id)) return "its request id is missing";
  } else if (change.kind == "evacuate") {
    for (const std::string& name : change.Details("name")) {
      const bool lifted = LiftedBetween(history, name, change.first_sent_ns(), read_ns);
      if (!lifted && !Holds(read.evacuations(), name)) return "evacuation " + name + " is missing";
    }
  } else if (change.kind == "model_revision") {
    for (const std::string& model : change.Details("model")) {
      const auto found = read.model_revisions().find(model);
      const uint64_t revision = found == read.model_revisions().end() ? 0 : found->second;
      if (revision < version) return fmt::format("revision of {} is {}", model, revision);
    }
  }
  return std::nullopt;
}

}  // namespace

CheckResult DurabilityCheck::Run(const RecordedHistory& history) const {
  CheckResult result(kId, kTitle);
  std::set<std::string> reported;
  for (const HistoryEvent& event : history.events()) {
    if (!event.has_state_read()) continue;
    const StateRead& read = event.state_read();
    const int64_t started_ns = ReadStartedAt(event);
    for (const ChangeRecord& change : history.changes()) {
      if (change.acknowledged_ns() >= started_ns) continue;
      result.Examine();
      const auto missing = MissingIn(history, change, read, event.time_ns());
      if (!missing || !reported.insert(change.request_id).second) continue;
      result.Violate(
          fmt::format("{} change {} acknowledged at {:.1f} s, read at {:.1f} s from {}: {}",
                      change.kind, change.request_id, Seconds(change.acknowledged_ns()),
                      Seconds(event.time_ns()), read.target(), *missing));
    }
  }
  return result;
}

}  // namespace posthatch::fleettest
