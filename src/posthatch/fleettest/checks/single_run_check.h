#pragma once

#include "posthatch/fleettest/checks/check.h"

namespace posthatch::fleettest {

// N1: One idempotency key of one tenant starts at a back end once at most. Runs are joined to their
// key by the nonce that the back end echoes as well, so a lost Idempotency-Key field hides nothing.
class SingleRunCheck : public Check {
 public:
  CheckResult Run(const RecordedHistory& history) const override;
};

}  // namespace posthatch::fleettest
