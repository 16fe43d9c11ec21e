#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "posthatch/fleettest/history/history.pb.h"

namespace posthatch::fleettest {

inline constexpr int64_t kNever = std::numeric_limits<int64_t>::max();
inline constexpr int64_t kSecondNs = 1'000'000'000;

struct CallRecord {
  const CallSent* sent = nullptr;
  int64_t sent_ns = 0;
  const CallEnded* ended = nullptr;  // null: no end was recorded before the fleet test ended
  int64_t ended_ns = kNever;

  bool succeeded() const { return ended != nullptr && ended->status() / 100 == 2; }
};

struct RunRecord {
  const RunStarted* run = nullptr;
  int64_t started_ns = 0;
  const RunEnded* ended = nullptr;
};

// One change by an operator, with all its sends and responses. Identified by its request id.
struct ChangeRecord {
  std::string request_id;
  std::string kind;
  // The name-value pairs parsed from ChangeSent.detail, which has the form "name=value name=value".
  std::vector<std::pair<std::string, std::string>> details;
  uint64_t expected_version = 0;
  std::vector<int64_t> sent_ns;
  std::vector<std::pair<int64_t, const ChangeAnswered*>> responses;

  bool acknowledged() const { return acknowledged_ns() != kNever; }
  int64_t first_sent_ns() const { return sent_ns.empty() ? kNever : sent_ns.front(); }
  // When the first acknowledgement reached the operator, or kNever.
  int64_t acknowledged_ns() const;
  // The version (configuration) or revision (model) that was acknowledged, or 0.
  uint64_t acknowledged_version() const;
  // Values given for `name` in `details`.
  std::vector<std::string> Details(std::string_view name) const;
  bool HasDetail(std::string_view name, std::string_view value) const;
};

// A half-open time interval [from_ns, until_ns).
struct Period {
  int64_t from_ns = 0;
  int64_t until_ns = kNever;
  bool Contains(int64_t time_ns) const { return time_ns >= from_ns && time_ns < until_ns; }
};

// A fault from its beginning to its end, joined from its two FaultInjected events.
struct FaultPeriod {
  std::string kind;
  std::string target;
  Period period;
};

// The complete history of a fleet test, ordered by time, with related events joined by their ids.
// Owns the events that the records point to. Immutable after construction.
class RecordedHistory {
 public:
  explicit RecordedHistory(std::vector<HistoryEvent> events);
  RecordedHistory(const RecordedHistory&) = delete;
  RecordedHistory& operator=(const RecordedHistory&) = delete;

  const std::vector<HistoryEvent>& events() const { return events_; }
  const std::vector<CallRecord>& calls() const { return calls_; }
  const std::vector<RunRecord>& runs() const { return runs_; }
  const std::vector<ChangeRecord>& changes() const { return changes_; }
  const std::vector<FaultPeriod>& faults() const { return faults_; }

  // Calls with `nonce`, which a caller's resends share.
  std::vector<const CallRecord*> CallsOf(const std::string& nonce) const;
  std::vector<const RunRecord*> RunsOf(const std::string& nonce) const;
  const RunRecord* FindRun(const std::string& run) const;  // null if no back end recorded it

  // Periods in which the setting `on`=`value` must have been in force: from `grace_ns` after the
  // acknowledgement of a change with the detail `on`=`value` until a change with the detail
  // `off`=`value` was first sent.
  std::vector<Period> CertainPeriods(std::string_view on, std::string_view off,
                                     const std::string& value, int64_t grace_ns) const;
  // The distinct values given for `name` in the details of all changes.
  std::vector<std::string> DetailValues(std::string_view name) const;
  // Periods in which the platform's inventory marked a back end as draining, each starting
  // `grace_ns` after the mark was first shown. Keyed by back end id.
  std::map<std::string, std::vector<Period>> DrainingPeriods(int64_t grace_ns) const;

 private:
  void AddCallEvent(const HistoryEvent& event);
  void AddChangeEvent(const HistoryEvent& event);
  void AddFault(int64_t time_ns, const FaultInjected& fault);

  std::vector<HistoryEvent> events_;
  std::vector<CallRecord> calls_;
  std::vector<RunRecord> runs_;
  std::vector<ChangeRecord> changes_;
  std::vector<FaultPeriod> faults_;
  // Keyed by recorder, nonce and call number: loads that share a recorder number their calls
  // independently.
  std::map<std::tuple<std::string, std::string, uint64_t>, size_t> call_by_id_;
  std::multimap<std::string, size_t> calls_by_nonce_;
  std::multimap<std::string, size_t> runs_by_nonce_;
  std::map<std::string, size_t> run_by_id_;
  std::map<std::string, size_t> change_by_id_;
};

}  // namespace posthatch::fleettest
