#pragma once

#include "posthatch/fleettest/checks/check.h"

namespace posthatch::fleettest {

// N10: A gateway that was frozen or cut off for 20 s or more decides by nothing old in the 30 s
// after it wakes; after a controller's freeze this goes for all gateways. Seen from outside as:
// orders under a fencing token that was passed on meanwhile, work for evacuated zones and draining
// back ends, old revisions, revoked keys, and blocks that isolation forbids.
class StaleWakeCheck : public Check {
 public:
  CheckResult Run(const RecordedHistory& history) const override;
};

}  // namespace posthatch::fleettest
