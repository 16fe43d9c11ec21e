#pragma once

#include "posthatch/fleettest/checks/check.h"

namespace posthatch::fleettest {

// N3: A response echoes the nonce of its own request, and a response that ends as complete has no
// missing or altered bytes.
class ResponseCheck : public Check {
 public:
  CheckResult Run(const RecordedHistory& history) const override;
};

}  // namespace posthatch::fleettest
