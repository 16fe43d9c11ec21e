#pragma once

#include "posthatch/rehearse/checks/check.h"

namespace posthatch::rehearse {

// N7: A draining back end gets no new work later than 3 s after the list first shows it, an
// evacuated zone none later than 5 s after the acknowledgement.
class DrainCheck : public Check {
 public:
  CheckResult Run(const RecordedHistory& history) const override;
};

}  // namespace posthatch::rehearse
