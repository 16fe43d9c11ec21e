#pragma once

#include "posthatch/fleettest/history/history.pb.h"

namespace posthatch::fleettest {

// Where stand-ins and callers write what they saw. Real ones append JSON lines to a file, simulated
// ones keep the events in memory. The recorder fills in the time and its own name.
class HistoryRecorder {
 public:
  virtual ~HistoryRecorder() = default;
  virtual void Record(HistoryEvent event) = 0;
};

}  // namespace posthatch::fleettest
