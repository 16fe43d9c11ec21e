#pragma once

#include "posthatch/rehearse/checks/check.h"

namespace posthatch::rehearse {

// N9: Every acknowledged change is there whenever the state is read later.
class DurabilityCheck : public Check {
 public:
  CheckResult Run(const RecordedHistory& history) const override;
};

}  // namespace posthatch::rehearse
