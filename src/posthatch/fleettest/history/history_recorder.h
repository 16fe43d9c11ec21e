#pragma once

#include "posthatch/fleettest/history/history.pb.h"

namespace posthatch::fleettest {

// Records the events that emulators, callers and operators observe. Real processes append JSON
// lines to a file, simulated ones store the events in memory. The recorder sets each event's time
// and its own name.
class HistoryRecorder {
 public:
  virtual ~HistoryRecorder() = default;
  virtual void Record(HistoryEvent event) = 0;
};

}  // namespace posthatch::fleettest
