#pragma once

#include "posthatch/fleettest/checks/check.h"

namespace posthatch::fleettest {

// N6: No run reuses blocks made under another revision, no worker serves an old revision later than
// 12 s after the new one was acknowledged, and no worker obeys an older fencing token after a newer
// one, or one token from two lease holders.
class RevisionCheck : public Check {
 public:
  CheckResult Run(const RecordedHistory& history) const override;
};

}  // namespace posthatch::fleettest
