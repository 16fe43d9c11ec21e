#pragma once

#include "posthatch/fleettest/checks/check.h"

namespace posthatch::fleettest {

// N5: A request runs as the tenant that sent it, and uses no block made by another tenant while
// either is isolated. Isolation counts from two seconds after the change's acknowledgement until
// the change that lifts it is sent.
class IsolationCheck : public Check {
 public:
  CheckResult Run(const RecordedHistory& history) const override;
};

}  // namespace posthatch::fleettest
