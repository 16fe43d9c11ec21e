#include "posthatch/fleettest/checks/answer_check.h"
#include "posthatch/fleettest/checks/check.h"
#include "posthatch/fleettest/checks/configuration_check.h"
#include "posthatch/fleettest/checks/drain_check.h"
#include "posthatch/fleettest/checks/durability_check.h"
#include "posthatch/fleettest/checks/isolation_check.h"
#include "posthatch/fleettest/checks/not_executed_check.h"
#include "posthatch/fleettest/checks/retry_check.h"
#include "posthatch/fleettest/checks/revision_check.h"
#include "posthatch/fleettest/checks/single_run_check.h"
#include "posthatch/fleettest/checks/stale_wake_check.h"
#include "posthatch/fleettest/checks/stream_check.h"

namespace posthatch::fleettest {

std::vector<std::unique_ptr<Check>> AllChecks() {
  std::vector<std::unique_ptr<Check>> checks;
  checks.push_back(std::make_unique<SingleRunCheck>());
  checks.push_back(std::make_unique<NotExecutedCheck>());
  checks.push_back(std::make_unique<ResponseCheck>());
  checks.push_back(std::make_unique<StreamCheck>());
  checks.push_back(std::make_unique<IsolationCheck>());
  checks.push_back(std::make_unique<RevisionCheck>());
  checks.push_back(std::make_unique<DrainCheck>());
  checks.push_back(std::make_unique<ConfigurationCheck>());
  checks.push_back(std::make_unique<DurabilityCheck>());
  checks.push_back(std::make_unique<StaleWakeCheck>());
  checks.push_back(std::make_unique<RetryCheck>());
  return checks;
}

}  // namespace posthatch::fleettest
