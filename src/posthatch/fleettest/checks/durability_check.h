#pragma once

#include "posthatch/fleettest/checks/check.h"

namespace posthatch::fleettest {

// N9: Every state read that starts after a change was acknowledged contains that change.
class DurabilityCheck : public Check {
 public:
  CheckResult Run(const RecordedHistory& history) const override;
};

}  // namespace posthatch::fleettest
