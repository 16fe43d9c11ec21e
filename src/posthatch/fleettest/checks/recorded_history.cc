#include "posthatch/fleettest/checks/recorded_history.h"

#include <algorithm>
#include <set>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace posthatch::fleettest {

int64_t ChangeRecord::acknowledged_ns() const {
  for (const auto& [time_ns, response] : responses) {
    if (response->acknowledged()) return time_ns;
  }
  return kNever;
}

uint64_t ChangeRecord::acknowledged_version() const {
  for (const auto& [time_ns, response] : responses) {
    if (response->acknowledged()) return response->version();
  }
  return 0;
}

std::vector<std::string> ChangeRecord::Details(std::string_view name) const {
  std::vector<std::string> values;
  for (const auto& [key, value] : details) {
    if (key == name) values.push_back(value);
  }
  return values;
}

bool ChangeRecord::HasDetail(std::string_view name, std::string_view value) const {
  return std::any_of(details.begin(), details.end(), [&](const auto& detail) {
    return detail.first == name && detail.second == value;
  });
}

namespace {

// A key id "tenant/7" is generation 7 of the probe tenant's key, which replaces generation 6.
std::string RotationDetail(const std::string& key_id) {
  const size_t slash = key_id.rfind('/');
  uint64_t generation = 0;
  if (slash == std::string::npos || !absl::SimpleAtoi(key_id.substr(slash + 1), &generation)) {
    return key_id;
  }
  std::string detail = absl::StrCat("accept=", key_id);
  if (generation > 1) {
    absl::StrAppend(&detail, " revoke=", key_id.substr(0, slash), "/", generation - 1);
  }
  return detail;
}

// Adds the names that the emulated operator omits where the kind of change implies them.
std::string NormalizedDetail(const std::string& kind, const std::string& detail) {
  if (detail.empty() || detail.find('=') != std::string::npos) return detail;
  if (kind == "evacuate" || kind == "lift") {
    return absl::StrCat(kind, "=", detail, " name=", detail);
  }
  if (kind == "model_revision") return absl::StrCat("model=", detail);
  return RotationDetail(detail);
}

std::vector<std::pair<std::string, std::string>> ParseDetails(const std::string& text) {
  std::vector<std::pair<std::string, std::string>> details;
  for (const absl::string_view pair : absl::StrSplit(text, ' ', absl::SkipEmpty())) {
    details.push_back(absl::StrSplit(pair, absl::MaxSplits('=', 1)));
  }
  return details;
}

}  // namespace

RecordedHistory::RecordedHistory(std::vector<HistoryEvent> events) : events_(std::move(events)) {
  std::stable_sort(events_.begin(), events_.end(),
                   [](const HistoryEvent& left, const HistoryEvent& right) {
                     return left.time_ns() < right.time_ns();
                   });
  for (const HistoryEvent& event : events_) {
    AddCallEvent(event);
    AddChangeEvent(event);
    if (event.has_fault_injected()) AddFault(event.time_ns(), event.fault_injected());
  }
}

void RecordedHistory::AddCallEvent(const HistoryEvent& event) {
  if (event.has_call_sent()) {
    const CallSent& sent = event.call_sent();
    call_by_id_[{event.recorder(), sent.nonce(), sent.call()}] = calls_.size();
    calls_by_nonce_.emplace(sent.nonce(), calls_.size());
    calls_.push_back({&sent, event.time_ns(), nullptr, kNever});
  } else if (event.has_call_ended()) {
    const CallEnded& ended = event.call_ended();
    const auto found = call_by_id_.find({event.recorder(), ended.nonce(), ended.call()});
    if (found == call_by_id_.end()) return;
    calls_[found->second].ended = &ended;
    calls_[found->second].ended_ns = event.time_ns();
  } else if (event.has_run_started()) {
    const RunStarted& run = event.run_started();
    runs_by_nonce_.emplace(run.nonce(), runs_.size());
    run_by_id_.emplace(run.run(), runs_.size());
    runs_.push_back({&run, event.time_ns(), nullptr});
  } else if (event.has_run_ended()) {
    const auto found = run_by_id_.find(event.run_ended().run());
    if (found != run_by_id_.end()) runs_[found->second].ended = &event.run_ended();
  }
}

void RecordedHistory::AddChangeEvent(const HistoryEvent& event) {
  if (event.has_change_sent()) {
    const ChangeSent& sent = event.change_sent();
    const auto [found, added] = change_by_id_.emplace(sent.request_id(), changes_.size());
    if (added) {
      changes_.push_back({sent.request_id(),
                          sent.kind(),
                          ParseDetails(NormalizedDetail(sent.kind(), sent.detail())),
                          sent.expected_version(),
                          {},
                          {}});
    }
    changes_[found->second].sent_ns.push_back(event.time_ns());
  } else if (event.has_change_answered()) {
    const auto found = change_by_id_.find(event.change_answered().request_id());
    if (found == change_by_id_.end()) return;
    changes_[found->second].responses.emplace_back(event.time_ns(), &event.change_answered());
  }
}

void RecordedHistory::AddFault(int64_t time_ns, const FaultInjected& fault) {
  if (!fault.ended()) {
    faults_.push_back({fault.kind(), fault.target(), {time_ns, kNever}});
    return;
  }
  // No range-based loop: clang-tidy 14 can't compile std::ranges of this libstdc++.
  // NOLINTNEXTLINE(modernize-loop-convert)
  for (auto found = faults_.rbegin(); found != faults_.rend(); ++found) {
    const bool open = found->period.until_ns == kNever;
    if (open && found->kind == fault.kind() && found->target == fault.target()) {
      found->period.until_ns = time_ns;
      return;
    }
  }
}

std::vector<const CallRecord*> RecordedHistory::CallsOf(const std::string& nonce) const {
  std::vector<const CallRecord*> found;
  const auto [first, last] = calls_by_nonce_.equal_range(nonce);
  for (auto entry = first; entry != last; ++entry) found.push_back(&calls_[entry->second]);
  return found;
}

std::vector<const RunRecord*> RecordedHistory::RunsOf(const std::string& nonce) const {
  std::vector<const RunRecord*> found;
  const auto [first, last] = runs_by_nonce_.equal_range(nonce);
  for (auto entry = first; entry != last; ++entry) found.push_back(&runs_[entry->second]);
  return found;
}

const RunRecord* RecordedHistory::FindRun(const std::string& run) const {
  const auto found = run_by_id_.find(run);
  return found == run_by_id_.end() ? nullptr : &runs_[found->second];
}

std::vector<Period> RecordedHistory::CertainPeriods(std::string_view on, std::string_view off,
                                                    const std::string& value,
                                                    int64_t grace_ns) const {
  std::vector<Period> periods;
  for (const ChangeRecord& change : changes_) {
    if (!change.acknowledged() || !change.HasDetail(on, value)) continue;
    Period period{change.acknowledged_ns() + grace_ns, kNever};
    for (const ChangeRecord& later : changes_) {
      const bool undone = later.HasDetail(off, value) &&
                          later.first_sent_ns() >= change.first_sent_ns() && &later != &change;
      if (undone) period.until_ns = std::min(period.until_ns, later.first_sent_ns());
    }
    if (period.from_ns < period.until_ns) periods.push_back(period);
  }
  return periods;
}

std::vector<std::string> RecordedHistory::DetailValues(std::string_view name) const {
  std::set<std::string> values;
  for (const ChangeRecord& change : changes_) {
    for (std::string& value : change.Details(name)) values.insert(std::move(value));
  }
  return {values.begin(), values.end()};
}

std::map<std::string, std::vector<Period>> RecordedHistory::DrainingPeriods(
    int64_t grace_ns) const {
  std::map<std::string, std::vector<Period>> periods;
  for (const HistoryEvent& event : events_) {
    if (!event.has_draining_shown()) continue;
    std::vector<Period>& backend_periods = periods[event.draining_shown().backend()];
    const bool open = !backend_periods.empty() && backend_periods.back().until_ns == kNever;
    if (event.draining_shown().draining()) {
      if (!open) backend_periods.push_back({event.time_ns() + grace_ns, kNever});
    } else if (open) {
      backend_periods.back().until_ns = event.time_ns();
    }
  }
  return periods;
}

}  // namespace posthatch::fleettest
