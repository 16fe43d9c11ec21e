#pragma once

#include "posthatch/fleettest/checks/check.h"

namespace posthatch::fleettest {

// N2: A response that reports "not executed" is a violation if a back end recorded a run with the
// request's idempotency key, before or after the response. Without a key it is a violation if a run
// with the request's nonce can't have been caused by another call with that nonce.
class NotExecutedCheck : public Check {
 public:
  CheckResult Run(const RecordedHistory& history) const override;
};

}  // namespace posthatch::fleettest
