#pragma once

#include "posthatch/fleettest/checks/check.h"

namespace posthatch::fleettest {

// N4: Pieces of a stream are exactly 0, 1, 2, ... of one run at one back end, and a cut stream does
// not end like a complete one.
class StreamCheck : public Check {
 public:
  CheckResult Run(const RecordedHistory& history) const override;
};

}  // namespace posthatch::fleettest
