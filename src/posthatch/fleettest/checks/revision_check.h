#pragma once

#include "posthatch/fleettest/checks/check.h"

namespace posthatch::fleettest {

// N6: No block made under an older revision is used, no worker serves an old revision more than 12
// s after the acknowledgement, and no worker obeys an older fencing token after a newer one, or one
// token from two holders.
class RevisionCheck : public Check {
 public:
  CheckResult Run(const RecordedHistory& history) const override;
};

}  // namespace posthatch::fleettest
