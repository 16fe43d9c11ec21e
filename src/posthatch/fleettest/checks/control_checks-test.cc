// Tests of the checks N6 to N10: valid histories pass, and each kind of violation is found.
#include <gtest/gtest.h>

#include "posthatch/fleettest/checks/configuration_check.h"
#include "posthatch/fleettest/checks/drain_check.h"
#include "posthatch/fleettest/checks/durability_check.h"
#include "posthatch/fleettest/checks/history_builder.h"
#include "posthatch/fleettest/checks/revision_check.h"
#include "posthatch/fleettest/checks/stale_wake_check.h"

namespace posthatch::fleettest {
namespace {

void ExpectClean(const HistoryBuilder& history, const Check& check) {
  const CheckResult result = history.Examine(check);
  EXPECT_GT(result.examined(), 0u);
  EXPECT_EQ(result.violations(), 0u) << result.examples().front();
}

void ExpectViolations(const HistoryBuilder& history, const Check& check, uint64_t count) {
  EXPECT_EQ(history.Examine(check).violations(), count);
}

void AcknowledgeRevision(HistoryBuilder* history, double acknowledged_s, uint64_t revision) {
  history->Change(acknowledged_s - 0.1, "revise", "model_revision", "model=atlas");
  history->Acknowledge(acknowledged_s, "revise", revision);
}

TEST(RevisionCheck, OldRevisionWithinLimitPasses) {
  HistoryBuilder history;
  AcknowledgeRevision(&history, 1, 2);
  history.Run(12.9, "a");
  history.Run(13.1, "b")->set_model_revision(2);
  history.Run(14, "c")->set_model("other");
  history.WorkerCommand(2, "gateway-1", 5);
  history.WorkerCommand(3, "gateway-2", 7);
  history.WorkerCommand(4, "gateway-1", 5, /*obeyed=*/false);
  ExpectClean(history, RevisionCheck());
}

TEST(RevisionCheck, OldRevisionAfterLimitIsViolation) {
  HistoryBuilder history;
  AcknowledgeRevision(&history, 1, 2);
  history.Run(13.1, "a");
  ExpectViolations(history, RevisionCheck(), 1);
}

TEST(RevisionCheck, BlocksOfOtherRevisionAreViolation) {
  HistoryBuilder history;
  RunStarted* run = history.Run(1, "a");
  run->set_model_revision(2);
  run->add_reused()->set_made_under_revision(1);
  ExpectViolations(history, RevisionCheck(), 1);
}

TEST(RevisionCheck, StaleAndSharedFencingTokensAreViolations) {
  HistoryBuilder history;
  history.WorkerCommand(1, "gateway-1", 5);
  history.WorkerCommand(2, "gateway-2", 7);
  history.WorkerCommand(3, "gateway-1", 5);
  history.WorkerCommand(4, "gateway-3", 7);
  ExpectViolations(history, RevisionCheck(), 2);
}

TEST(DrainCheck, WorkOutsideDrainingPeriodPasses) {
  HistoryBuilder history;
  history.Draining(1, "worker-1", true);
  history.Draining(10, "worker-1", false);
  history.Change(20, "e", "evacuate", "name=e evacuate=z1");
  history.Acknowledge(21, "e", 0);
  history.Change(30, "l", "lift", "name=e lift=z1");
  history.Run(3.9, "a");
  history.Run(5, "b", "worker-2");
  history.Run(10.1, "c");
  history.Run(25.9, "d");
  history.Run(27, "e")->set_zone("z2");
  history.Run(30.1, "f");
  ExpectClean(history, DrainCheck());
}

TEST(DrainCheck, WorkAfterLimitIsViolation) {
  HistoryBuilder history;
  history.Draining(1, "worker-1", true);
  history.Run(4.1, "a");
  history.Change(20, "e", "evacuate", "name=e evacuate=z1");
  history.Acknowledge(21, "e", 0);
  history.Run(26.1, "b", "worker-2");
  ExpectViolations(history, DrainCheck(), 2);
}

// Key 1 is revoked and key 2 accepted, acknowledged at 10 s.
HistoryBuilder Rotation() {
  HistoryBuilder history;
  ChangeSent* sent = history.Change(9, "r", "configuration", "revoke=alpha/1 accept=alpha/2");
  sent->set_expected_version(3);
  history.Acknowledge(10, "r", 4);
  return history;
}

TEST(ConfigurationCheck, RevokedKeyWithinLimitPasses) {
  HistoryBuilder history = Rotation();
  history.Call(11.9, "a");
  history.Rejected(12.1, "b", 401, "no");
  history.Rejected(12.2, "c", 503, "no");
  history.Call(12.3, "d", "alpha", "", "alpha/2");
  history.Rejected(8, "e", 401, "no", "", "alpha/2");
  ExpectClean(history, ConfigurationCheck());
}

TEST(ConfigurationCheck, AcceptedRevokedAndRejectedNewKeysAreViolations) {
  HistoryBuilder history = Rotation();
  history.Call(12.1, "a");
  history.Rejected(12.1, "b", 401, "no", "", "alpha/2");
  ExpectViolations(history, ConfigurationCheck(), 2);
}

TEST(ConfigurationCheck, RevertedConfigurationIsViolation) {
  HistoryBuilder history = Rotation();
  history.Rejected(10.1, "a", 401, "no");
  history.Call(10.5, "b", "alpha", "", "alpha/1", "127.0.0.2:80");
  ExpectClean(history, ConfigurationCheck());
  history.Call(10.6, "c");
  ExpectViolations(history, ConfigurationCheck(), 1);
}

TEST(ConfigurationCheck, TwoWinnersOfOneVersionAreViolation) {
  HistoryBuilder history = Rotation();
  history.Change(9, "s", "configuration", "")->set_expected_version(3);
  history.Acknowledge(10, "s", 4);
  ExpectViolations(history, ConfigurationCheck(), 1);
}

TEST(ConfigurationCheck, RejectedResendOfAppliedChangeIsViolation) {
  HistoryBuilder history;
  history.Change(1, "a", "configuration", "");
  history.Change(2, "a", "configuration", "");
  history.Reject(2.1, "a", "version_conflict");
  ExpectClean(history, ConfigurationCheck());
  history.Read(5, 1, {"a"});
  ExpectViolations(history, ConfigurationCheck(), 1);
}

TEST(ConfigurationCheck, ChangeAppliedTwiceIsViolation) {
  HistoryBuilder history;
  history.Change(1, "a", "configuration", "");
  history.Change(2, "a", "configuration", "");
  history.Acknowledge(2.1, "a", 4);
  history.Acknowledge(2.2, "a", 5);
  history.Read(5, 5, {"a", "a"});
  ExpectViolations(history, ConfigurationCheck(), 2);
}

HistoryBuilder AcknowledgedChanges() {
  HistoryBuilder history;
  history.Change(1, "c", "configuration", "");
  history.Acknowledge(2, "c", 4);
  history.Change(3, "e", "evacuate", "name=e evacuate=z1");
  history.Acknowledge(4, "e", 0);
  AcknowledgeRevision(&history, 6, 2);
  return history;
}

TEST(DurabilityCheck, PresentAndExplicitlyRemovedChangesPass) {
  HistoryBuilder history = AcknowledgedChanges();
  StateRead* read = history.Read(8, 4, {"c"});
  read->add_evacuations("e");
  (*read->mutable_model_revisions())["atlas"] = 2;
  history.Change(9, "l", "lift", "name=e lift=z1");
  StateRead* later = history.Read(10, 900, {});
  later->set_oldest_version(500);
  (*later->mutable_model_revisions())["atlas"] = 3;
  ExpectClean(history, DurabilityCheck());
}

TEST(DurabilityCheck, LostChangesAreViolations) {
  HistoryBuilder history = AcknowledgedChanges();
  history.Read(8, 4, {"other"});
  ExpectViolations(history, DurabilityCheck(), 3);
}

TEST(DurabilityCheck, LostVersionIsViolationDespiteRequestId) {
  HistoryBuilder history;
  history.Change(1, "c", "configuration", "");
  history.Acknowledge(2, "c", 4);
  history.Read(3, 3, {"c"});
  ExpectViolations(history, DurabilityCheck(), 1);
}

TEST(DurabilityCheck, ReadStartedBeforeAcknowledgementIsIgnored) {
  HistoryBuilder history;
  history.Change(1, "c", "configuration", "");
  history.Acknowledge(2, "c", 4);
  history.Read(3, 3, {})->set_started_ns(kSecondNs);
  EXPECT_EQ(history.Examine(DurabilityCheck()).examined(), 0u);
}

// gateway-1 is frozen from 10 s to 35 s. Meanwhile zone z1 is evacuated, revision 2 is
// acknowledged, key alpha/1 is revoked, tenant beta is isolated, worker-9 starts draining, and
// gateway-2 takes over the worker's lease.
HistoryBuilder LongFreeze() {
  HistoryBuilder history;
  history.WorkerCommand(5, "gateway-1", 5);
  history.Fault(10, 35, "freeze", "gateway-1");
  history.Change(12, "e", "evacuate", "name=e evacuate=z1");
  history.Acknowledge(13, "e", 0);
  history.Change(14, "k", "configuration", "revoke=alpha/1 isolate=beta");
  history.Acknowledge(15, "k", 2);
  AcknowledgeRevision(&history, 17, 2);
  history.Draining(18, "worker-9", true);
  history.WorkerCommand(20, "gateway-2", 8);
  return history;
}

RunStarted* CurrentRun(HistoryBuilder* history, double time_s, const std::string& nonce) {
  history->Call(time_s - 0.1, nonce, "alpha", "", "alpha/2");
  RunStarted* run = history->Run(time_s, nonce, "worker-2");
  run->set_zone("z2");
  run->set_expected_revision(2);
  return run;
}

TEST(StaleWakeCheck, NewDecisionsAndShortFreezesPass) {
  HistoryBuilder history = LongFreeze();
  CurrentRun(&history, 36, "a");
  history.WorkerCommand(40, "gateway-1", 9);
  history.Fault(50, 60, "freeze", "gateway-2");
  history.Run(61, "b")->set_gateway("gateway-2");
  ExpectClean(history, StaleWakeCheck());
}

TEST(StaleWakeCheck, EveryStaleDecisionIsViolation) {
  HistoryBuilder history = LongFreeze();
  CurrentRun(&history, 36, "zone")->set_zone("z1");
  CurrentRun(&history, 36, "revision")->set_expected_revision(1);
  CurrentRun(&history, 36, "drain")->set_backend("worker-9");
  CurrentRun(&history, 36, "isolation")->add_reused()->set_made_by_tenant("beta");
  history.Call(36, "key");
  RunStarted* run = CurrentRun(&history, 0.1, "unused");
  run->set_zone("z2");
  RunStarted* with_revoked_key = history.Run(36.1, "key", "worker-2");
  with_revoked_key->set_zone("z2");
  with_revoked_key->set_expected_revision(2);
  ExpectViolations(history, StaleWakeCheck(), 5);
}

TEST(StaleWakeCheck, CommandUnderPassedLeaseIsViolationEvenIfRejected) {
  HistoryBuilder history = LongFreeze();
  history.WorkerCommand(35.2, "gateway-1", 5, /*obeyed=*/false);
  ExpectViolations(history, StaleWakeCheck(), 1);
}

TEST(StaleWakeCheck, DelayedRequestPassesOnlyOverPartitionedLink) {
  for (const std::string kind : {"cut", "freeze"}) {
    HistoryBuilder history;
    history.Fault(10, 35, kind, "gateway-1");
    history.Call(9, "late");
    AcknowledgeRevision(&history, 17, 2);
    history.Run(35.1, "late")->set_expected_revision(1);
    ExpectViolations(history, StaleWakeCheck(), kind == "cut" ? 0 : 1);
  }
}

TEST(StaleWakeCheck, ControllerThawConcernsEveryGateway) {
  HistoryBuilder history = LongFreeze();
  history.Fault(40, 65, "cut", "controller-2");
  history.Run(66, "a")->set_gateway("gateway-3");
  ExpectViolations(history, StaleWakeCheck(), 1);
}

}  // namespace
}  // namespace posthatch::fleettest
