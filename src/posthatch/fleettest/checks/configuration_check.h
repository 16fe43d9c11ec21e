#pragma once

#include "posthatch/fleettest/checks/check.h"

namespace posthatch::fleettest {

// N8: Two seconds after an acknowledgement no gateway accepts a revoked key or refuses a new one; a
// gateway that has shown a newer configuration never shows an older one; of two racing changes one
// wins; a resent change is neither refused nor applied twice.
class ConfigurationCheck : public Check {
 public:
  CheckResult Run(const RecordedHistory& history) const override;
};

}  // namespace posthatch::fleettest
