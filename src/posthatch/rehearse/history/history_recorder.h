#pragma once

#include "posthatch/rehearse/history/history.pb.h"

namespace posthatch::rehearse {

// Where stand-ins and callers write what they saw. Real ones append JSON lines to a file, simulated
// ones keep the events in memory. The recorder fills in the time and its own name.
class HistoryRecorder {
 public:
  virtual ~HistoryRecorder() = default;
  virtual void Record(HistoryEvent event) = 0;
};

}  // namespace posthatch::rehearse
