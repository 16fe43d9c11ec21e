#pragma once

#include "posthatch/fleettest/checks/check.h"

namespace posthatch::fleettest {

// N4: The chunks of a stream are numbered 0, 1, 2, ... without a gap and belong to one run, and a
// truncated stream does not end as complete.
class StreamCheck : public Check {
 public:
  CheckResult Run(const RecordedHistory& history) const override;
};

}  // namespace posthatch::fleettest
