#pragma once

#include "posthatch/fleettest/checks/check.h"

namespace posthatch::fleettest {

// N2: An answer that says "not executed" is a violation if the back ends' record shows a start of
// its key, before or after; without a key, if no other call of the same nonce can have caused the
// start.
class NotExecutedCheck : public Check {
 public:
  CheckResult Run(const RecordedHistory& history) const override;
};

}  // namespace posthatch::fleettest
