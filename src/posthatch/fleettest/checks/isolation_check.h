#pragma once

#include "posthatch/fleettest/checks/check.h"

namespace posthatch::fleettest {

// N5: A request runs as the tenant that sent it, and reuses no block made by another tenant while
// either tenant is isolated. Isolation is in force from two seconds after the acknowledgement of
// the change that begins it until the change that ends it is sent.
class IsolationCheck : public Check {
 public:
  CheckResult Run(const RecordedHistory& history) const override;
};

}  // namespace posthatch::fleettest
