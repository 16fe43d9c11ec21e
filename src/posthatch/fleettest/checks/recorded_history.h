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
  const CallEnded* ended = nullptr;  // null: nothing was recorded before the fleet test's end
  int64_t ended_ns = kNever;

  bool succeeded() const { return ended != nullptr && ended->status() / 100 == 2; }
};

struct RunRecord {
  const RunStarted* run = nullptr;
  int64_t started_ns = 0;
  const RunEnded* ended = nullptr;
};

// All sends and answers of one operator's change, told apart by its request id.
struct ChangeRecord {
  std::string request_id;
  std::string kind;
  // The detail, a list of "name=value" separated by blanks, taken apart.
  std::vector<std::pair<std::string, std::string>> details;
  uint64_t expected_version = 0;
  std::vector<int64_t> sent_ns;
  std::vector<std::pair<int64_t, const ChangeAnswered*>> answers;

  bool acknowledged() const { return acknowledged_ns() != kNever; }
  int64_t first_sent_ns() const { return sent_ns.empty() ? kNever : sent_ns.front(); }
  // When the first acknowledgement reached the operator, or kNever.
  int64_t acknowledged_ns() const;
  // The version (configuration) or revision (model) that was acknowledged, or 0.
  uint64_t acknowledged_version() const;
  // Values of `name` in the detail.
  std::vector<std::string> Details(std::string_view name) const;
  bool HasDetail(std::string_view name, std::string_view value) const;
};

// A time during which something held, [from, until).
struct Period {
  int64_t from_ns = 0;
  int64_t until_ns = kNever;
  bool Contains(int64_t time_ns) const { return time_ns >= from_ns && time_ns < until_ns; }
};

// A fault with its beginning and end, from its two FaultInjected events.
struct FaultPeriod {
  std::string kind;
  std::string target;
  Period period;
};

// The whole history, ordered by time and joined by ids. Owns the events; the records point into
// them. Immutable after construction.
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

  // Calls that carry `nonce`: a caller's resends share it.
  std::vector<const CallRecord*> CallsOf(const std::string& nonce) const;
  std::vector<const RunRecord*> RunsOf(const std::string& nonce) const;
  const RunRecord* FindRun(const std::string& run) const;  // null if no back end recorded it

  // Times during which "ON=value" was certainly in force: from `grace_ns` after the acknowledgement
  // of a change whose detail says `on`=value, until a change that says `off`=value was first sent.
  std::vector<Period> CertainPeriods(std::string_view on, std::string_view off,
                                     const std::string& value, int64_t grace_ns) const;
  // All values that any change's detail gives for `name`.
  std::vector<std::string> DetailValues(std::string_view name) const;
  // Periods in which the platform's list showed a draining mark, by back end.
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
  // By recorder, nonce and number: several loads of one recorder count their calls by themselves.
  std::map<std::tuple<std::string, std::string, uint64_t>, size_t> call_by_id_;
  std::multimap<std::string, size_t> calls_by_nonce_;
  std::multimap<std::string, size_t> runs_by_nonce_;
  std::map<std::string, size_t> run_by_id_;
  std::map<std::string, size_t> change_by_id_;
};

}  // namespace posthatch::fleettest
