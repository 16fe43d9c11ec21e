#pragma once

#include "posthatch/fleettest/checks/check.h"

namespace posthatch::fleettest {

// N8: Two seconds after an acknowledgement no gateway accepts a revoked key or rejects a new one; a
// gateway that has applied a newer configuration never reverts to an older one; of two concurrent
// changes to one version exactly one succeeds; a resent change is neither rejected nor applied
// twice.
class ConfigurationCheck : public Check {
 public:
  CheckResult Run(const RecordedHistory& history) const override;
};

}  // namespace posthatch::fleettest
