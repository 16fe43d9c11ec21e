#pragma once

#include "posthatch/fleettest/checks/check.h"

namespace posthatch::fleettest {

// N9: Every acknowledged change is there whenever the state is read later.
class DurabilityCheck : public Check {
 public:
  CheckResult Run(const RecordedHistory& history) const override;
};

}  // namespace posthatch::fleettest
