#pragma once

#include "posthatch/fleettest/checks/check.h"

namespace posthatch::fleettest {

// N3: An answer carries its request's own nonce, and if it ends as complete no byte is missing or
// changed.
class AnswerCheck : public Check {
 public:
  CheckResult Run(const RecordedHistory& history) const override;
};

}  // namespace posthatch::fleettest
