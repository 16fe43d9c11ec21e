#pragma once

#include "posthatch/fleettest/checks/check.h"

namespace posthatch::fleettest {

// N1: Each idempotency key of a tenant starts at most one run. Runs are matched to their key by the
// nonce too, so a run that lost its Idempotency-Key field is found.
class SingleRunCheck : public Check {
 public:
  CheckResult Run(const RecordedHistory& history) const override;
};

}  // namespace posthatch::fleettest
