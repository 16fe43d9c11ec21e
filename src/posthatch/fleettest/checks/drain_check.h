#pragma once

#include "posthatch/fleettest/checks/check.h"

namespace posthatch::fleettest {

// N7: A draining back end gets no new work later than 3 s after the platform's inventory first
// marks it as draining, and an evacuated zone none later than 5 s after the acknowledgement.
class DrainCheck : public Check {
 public:
  CheckResult Run(const RecordedHistory& history) const override;
};

}  // namespace posthatch::fleettest
