#pragma once

#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "posthatch/fleettest/history/history.pb.h"
#include "posthatch/fleettest/history/history_recorder.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::fleettest {

// Appends each event as one line of protobuf JSON. Each line is written to the operating system
// before Record returns, so recorded events survive a kill of the process; nothing is buffered in
// memory. Used by one thread.
class JsonlHistoryRecorder : public HistoryRecorder {
 public:
  // Opens `path` for appending; an incomplete last line is removed first. Errors: Unavailable
  // with the system's reason.
  static absl::StatusOr<std::unique_ptr<JsonlHistoryRecorder>> Open(const runtime::Clock* clock,
                                                                    std::string recorder_name,
                                                                    const std::string& path);
  ~JsonlHistoryRecorder() override;
  JsonlHistoryRecorder(const JsonlHistoryRecorder&) = delete;
  JsonlHistoryRecorder& operator=(const JsonlHistoryRecorder&) = delete;

  void Record(HistoryEvent event) override;
  // Events that could not be written (disk full). A fleet test that lost events is inconclusive.
  uint64_t lost_events() const { return lost_events_; }

 private:
  JsonlHistoryRecorder(const runtime::Clock* clock, std::string recorder_name, std::FILE* file);

  const runtime::Clock* const clock_;
  const std::string recorder_name_;
  std::FILE* const file_;
  uint64_t lost_events_ = 0;
};

// Appends events to a list that several recorders may share; for the simulator and tests. The list
// outlives the recorder, so a simulated crash loses no events.
class MemoryHistoryRecorder : public HistoryRecorder {
 public:
  MemoryHistoryRecorder(const runtime::Clock* clock, std::string recorder_name,
                        std::vector<HistoryEvent>* events);

  void Record(HistoryEvent event) override;

 private:
  const runtime::Clock* const clock_;
  const std::string recorder_name_;
  std::vector<HistoryEvent>* const events_;
};

// The contents of one history file.
struct LoadedHistory {
  std::vector<HistoryEvent> events;  // complete events, in file order
  // Whether the last line is incomplete, as a killed process may leave it. Such a line is not among
  // `events`.
  bool truncated_end = false;
};

// Reads a file written by JsonlHistoryRecorder. Errors: NotFound, DataLoss (a malformed line that
// isn't the last one, with its number).
absl::StatusOr<LoadedHistory> LoadHistory(const std::string& path);

// Orders events of several recorders by time; those of one recorder keep their order.
void SortByTime(std::vector<HistoryEvent>* events);

}  // namespace posthatch::fleettest
