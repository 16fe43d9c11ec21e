#pragma once

#include "posthatch/fleettest/checks/check.h"

namespace posthatch::fleettest {

// N11: Retries are at most 20% of the first attempts in any 10 s of load, and in the first half of
// its slow start a worker gets at most four new runs more than the mean of the warm workers.
class RetryCheck : public Check {
 public:
  CheckResult Run(const RecordedHistory& history) const override;
};

}  // namespace posthatch::fleettest
