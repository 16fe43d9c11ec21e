#pragma once

#include "posthatch/fleettest/checks/check.h"

namespace posthatch::fleettest {

// N11: Attempts beyond the first stay within 20% of the first attempts over any 10 s of load, and a
// worker that has just come up gets no more new runs than the mean of the warm ones while it is in
// the first half of its slow start.
class RetryCheck : public Check {
 public:
  CheckResult Run(const RecordedHistory& history) const override;
};

}  // namespace posthatch::fleettest
