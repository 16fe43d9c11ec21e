#pragma once

#include "posthatch/fleettest/checks/check.h"

namespace posthatch::fleettest {

// N10: In the 30 s after a freeze or partition of 20 s or more no decision is based on stale state.
// After that of a gateway, its own decisions are checked; after that of a controller, those of all
// gateways. Violations are commands under a fencing token that is no longer the newest, requests
// sent to evacuated zones or draining back ends, old model revisions, revoked keys, and reuse of
// blocks across tenant isolation.
class StaleWakeCheck : public Check {
 public:
  CheckResult Run(const RecordedHistory& history) const override;
};

}  // namespace posthatch::fleettest
