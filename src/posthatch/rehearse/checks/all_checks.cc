#include "posthatch/rehearse/checks/answer_check.h"
#include "posthatch/rehearse/checks/check.h"
#include "posthatch/rehearse/checks/configuration_check.h"
#include "posthatch/rehearse/checks/drain_check.h"
#include "posthatch/rehearse/checks/durability_check.h"
#include "posthatch/rehearse/checks/isolation_check.h"
#include "posthatch/rehearse/checks/not_executed_check.h"
#include "posthatch/rehearse/checks/retry_check.h"
#include "posthatch/rehearse/checks/revision_check.h"
#include "posthatch/rehearse/checks/single_run_check.h"
#include "posthatch/rehearse/checks/stale_wake_check.h"
#include "posthatch/rehearse/checks/stream_check.h"

namespace posthatch::rehearse {

std::vector<std::unique_ptr<Check>> AllChecks() {
  std::vector<std::unique_ptr<Check>> checks;
  checks.push_back(std::make_unique<SingleRunCheck>());
  checks.push_back(std::make_unique<NotExecutedCheck>());
  checks.push_back(std::make_unique<AnswerCheck>());
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

}  // namespace posthatch::rehearse
