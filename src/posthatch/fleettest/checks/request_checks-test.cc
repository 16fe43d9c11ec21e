// Tests of the checks N1 to N5 and N11: valid histories pass, and each kind of violation is found.
#include <gtest/gtest.h>

#include "posthatch/fleettest/checks/answer_check.h"
#include "posthatch/fleettest/checks/history_builder.h"
#include "posthatch/fleettest/checks/isolation_check.h"
#include "posthatch/fleettest/checks/not_executed_check.h"
#include "posthatch/fleettest/checks/retry_check.h"
#include "posthatch/fleettest/checks/single_run_check.h"
#include "posthatch/fleettest/checks/stream_check.h"

namespace posthatch::fleettest {
namespace {

void ExpectClean(const HistoryBuilder& history, const Check& check) {
  const CheckResult result = history.Examine(check);
  EXPECT_GT(result.examined(), 0u);
  EXPECT_EQ(result.violations(), 0u) << result.examples().front();
}

void ExpectViolations(const HistoryBuilder& history, const Check& check, uint64_t count) {
  const CheckResult result = history.Examine(check);
  EXPECT_EQ(result.violations(), count);
  EXPECT_EQ(result.examples().size(), std::min<uint64_t>(count, CheckResult::kMaxExamples));
}

TEST(SingleRunCheck, ResendsWithSingleRunPass) {
  HistoryBuilder history;
  history.Call(1, "a", "alpha", "k1");
  history.Call(2, "a", "alpha", "k1");
  history.Run(1.05, "a", "service-1", "k1");
  history.Run(3, "b", "service-1", "k2");
  ExpectClean(history, SingleRunCheck());
}

TEST(SingleRunCheck, SecondRunIsViolationAtAnyBackend) {
  HistoryBuilder history;
  history.Run(1, "a", "service-1", "k1");
  history.Run(2, "a", "service-2", "k1");
  ExpectViolations(history, SingleRunCheck(), 1);
}

TEST(SingleRunCheck, SecondRunWithoutKeyIsFoundByNonce) {
  HistoryBuilder history;
  history.Call(1, "a", "alpha", "k1");
  history.Run(1.05, "a", "service-1", "k1");
  history.Run(2, "a", "service-1", "");
  ExpectViolations(history, SingleRunCheck(), 1);
}

TEST(SingleRunCheck, KeysArePerTenant) {
  HistoryBuilder history;
  history.Run(1, "a", "service-1", "k1");
  history.Run(2, "b", "service-1", "k1")->set_tenant("beta");
  ExpectClean(history, SingleRunCheck());
}

TEST(NotExecutedCheck, RejectionsWithoutRunPass) {
  HistoryBuilder history;
  history.Rejected(1, "a", 503, "no", "k1");
  history.Rejected(2, "b", 503, "no");
  history.Rejected(3, "c", 503, "unknown", "k2");
  history.Run(3.05, "c", "service-1", "k2");
  ExpectClean(history, NotExecutedCheck());
}

TEST(NotExecutedCheck, RunBeforeOrAfterRejectionIsViolation) {
  HistoryBuilder history;
  history.Rejected(1, "a", 503, "no", "k1");
  history.Run(9, "a", "service-1", "k1");
  history.Run(1, "b", "service-1", "k2");
  history.Rejected(5, "b", 503, "no", "k2");
  history.Rejected(7, "c", 503, "no");
  history.Run(7.01, "c", "worker-1");
  ExpectViolations(history, NotExecutedCheck(), 3);
}

TEST(NotExecutedCheck, IdempotentResendMayRunButNotRejectedCall) {
  HistoryBuilder history;
  history.Rejected(1, "a", 503, "no");
  history.Call(2, "a");
  history.Run(2.05, "a");
  ExpectClean(history, NotExecutedCheck());
  history.Run(1.5, "a");
  ExpectViolations(history, NotExecutedCheck(), 1);
}

TEST(ResponseCheck, MatchingCompleteResponsesPass) {
  HistoryBuilder history;
  history.Run(1, "a");
  history.Call(1, "a");
  CallEnded* truncated = history.Call(2, "b");
  truncated->set_complete(false);
  truncated->set_body_intact(false);
  ExpectClean(history, ResponseCheck());
}

TEST(ResponseCheck, MismatchedAndAlteredResponsesAreViolations) {
  HistoryBuilder history;
  history.Run(1, "x");
  history.Call(1, "a")->set_echoed_nonce("b");
  history.Call(2, "b")->set_body_intact(false);
  history.Call(3, "c")->set_run("run-x");
  history.Call(4, "d")->set_echoed_nonce("");
  CallEnded* truncated = history.Call(5, "e");
  truncated->set_complete(false);
  truncated->set_echoed_nonce("z");
  ExpectViolations(history, ResponseCheck(), 5);
}

TEST(RecordedHistory, SeparatesLoadsWithEqualCallNumbers) {
  HistoryBuilder history;
  CallEnded* probe = history.Call(1, "probe", "alpha", "", "alpha/1", "g", 1.2);
  CallSent* probe_sent = history.LastSent();
  CallEnded* load = history.Call(1.1, "load", "alpha", "", "alpha/1", "g", 1.3);
  history.LastSent()->set_call(probe_sent->call());
  load->set_call(probe->call());
  const RecordedHistory joined(history.Events());
  ASSERT_EQ(joined.calls().size(), 2u);
  for (const CallRecord& call : joined.calls()) {
    ASSERT_NE(call.ended, nullptr);
    EXPECT_EQ(call.ended->nonce(), call.sent->nonce());
  }
}

CallEnded* Stream(HistoryBuilder* history, double time_s, const std::string& nonce,
                  const std::vector<uint32_t>& chunks) {
  CallEnded* ended = history->Call(time_s, nonce);
  history->LastSent()->set_stream(true);
  history->LastSent()->set_expected_pieces(3);
  for (const uint32_t chunk : chunks) ended->add_pieces(chunk);
  ended->add_piece_runs("run-" + nonce);
  return ended;
}

TEST(StreamCheck, CompleteAndVisiblyTruncatedStreamsPass) {
  HistoryBuilder history;
  Stream(&history, 1, "a", {0, 1, 2});
  Stream(&history, 2, "b", {0, 1})->set_complete(false);
  ExpectClean(history, StreamCheck());
}

TEST(StreamCheck, IncorrectChunksAndHiddenTruncationAreViolations) {
  HistoryBuilder history;
  Stream(&history, 1, "a", {0, 2, 3});
  Stream(&history, 2, "b", {0, 1, 1, 2});
  Stream(&history, 3, "c", {0, 1, 2})->add_piece_runs("run-other");
  Stream(&history, 4, "d", {0, 1});
  Stream(&history, 5, "e", {});
  history.Run(6, "f");
  Stream(&history, 6, "f", {0, 1, 2});
  history.EndRun(6.2, "f", false);
  ExpectViolations(history, StreamCheck(), 6);
}

void Reuse(RunStarted* run, const std::string& owner, uint64_t revision = 1) {
  ReusedBlocks* reused = run->add_reused();
  reused->set_made_by_tenant(owner);
  reused->set_made_under_revision(revision);
  reused->set_blocks(4);
}

TEST(IsolationCheck, SharingOutsideIsolationPasses) {
  HistoryBuilder history;
  history.Change(1, "c1", "configuration", "isolate=beta");
  history.Acknowledge(2, "c1", 1);
  history.Change(10, "c2", "configuration", "share=beta");
  for (const double time_s : {0.5, 3.0, 11.0}) {
    history.Call(time_s, "n" + std::to_string(time_s));
    Reuse(history.Run(time_s, "n" + std::to_string(time_s)), "beta");
  }
  history.Call(5, "own");
  Reuse(history.Run(5, "own"), "alpha");
  ExpectClean(history, IsolationCheck());
}

TEST(IsolationCheck, IsolatedBlocksAndOtherTenantsAreViolations) {
  HistoryBuilder history;
  history.Change(1, "c1", "configuration", "isolate=beta");
  history.Acknowledge(2, "c1", 1);
  history.Call(5, "uses-isolated");
  Reuse(history.Run(5, "uses-isolated"), "beta");
  history.Call(6, "is-isolated", "beta");
  RunStarted* run = history.Run(6, "is-isolated");
  run->set_tenant("beta");
  Reuse(run, "alpha");
  history.Call(7, "as-another", "gamma");
  history.Run(7, "as-another");
  ExpectViolations(history, IsolationCheck(), 3);
}

// Adds ten requests per second, of which `retries` in every hundred are retried once. The first
// attempt of a retried request reaches a back end only if `first_seen`.
void Load(HistoryBuilder* history, int retries, bool first_seen) {
  for (int request = 0; request < 200; ++request) {
    const std::string nonce = "n" + std::to_string(request);
    const bool retried = request % 100 < retries;
    if (!retried || first_seen) history->Run(request * 0.1, nonce);
    if (retried) history->Run(request * 0.1 + 0.05, nonce, "worker-2")->set_attempt_number(2);
  }
}

TEST(RetryCheck, RetriesWithinBudgetPass) {
  for (const bool first_seen : {true, false}) {
    HistoryBuilder history;
    Load(&history, 18, first_seen);
    ExpectClean(history, RetryCheck());
  }
}

TEST(RetryCheck, RetriesOverBudgetAreViolations) {
  for (const bool first_seen : {true, false}) {
    HistoryBuilder history;
    Load(&history, 30, first_seen);
    EXPECT_GT(history.Examine(RetryCheck()).violations(), 0u);
  }
}

// A worker that started at 20 s gets `slow_start_runs` runs in the next 5 s; two warm workers get
// 10 runs each.
HistoryBuilder WorkerInSlowStart(int slow_start_runs) {
  HistoryBuilder history;
  for (int run = 0; run < 10; ++run) {
    history.Run(20.1 + run * 0.4, "w" + std::to_string(run), "worker-1");
    history.Run(20.2 + run * 0.4, "v" + std::to_string(run), "worker-2");
  }
  for (int run = 0; run < slow_start_runs; ++run) {
    history.Run(20.1 + run * 0.1, "c" + std::to_string(run), "worker-3")
        ->set_up_since_ns(20 * kSecondNs);
  }
  return history;
}

TEST(RetryCheck, WorkerInSlowStartWithLittleLoadPasses) {
  ExpectClean(WorkerInSlowStart(5), RetryCheck());
}

TEST(RetryCheck, OverloadedWorkerInSlowStartIsViolation) {
  ExpectViolations(WorkerInSlowStart(30), RetryCheck(), 1);
}

TEST(RetryCheck, PartitionedWorkerIsNoReferenceForSlowStart) {
  HistoryBuilder history = WorkerInSlowStart(30);
  history.Fault(19, 24, "cut", "worker-1");
  ExpectViolations(history, RetryCheck(), 1);
  history.Fault(19, 24, "cut", "worker-2");
  EXPECT_EQ(history.Examine(RetryCheck()).examined(), 0u);
}

TEST(RetryCheck, WorkerWithOldRevisionIsNoReferenceForSlowStart) {
  HistoryBuilder history = WorkerInSlowStart(0);
  for (int run = 0; run < 30; ++run) {
    RunStarted* cold = history.Run(20.1 + run * 0.1, "c" + std::to_string(run), "worker-3");
    cold->set_up_since_ns(20 * kSecondNs);
    cold->set_model_revision(2);
  }
  EXPECT_EQ(history.Examine(RetryCheck()).violations(), 0u);
  for (int run = 0; run < 5; ++run) {
    history.Run(20.1 + run * 0.1, "u" + std::to_string(run), "worker-4")->set_model_revision(2);
  }
  ExpectViolations(history, RetryCheck(), 1);
}

TEST(RetryCheck, DrainingWorkerIsNoReferenceForSlowStart) {
  HistoryBuilder history = WorkerInSlowStart(30);
  history.Draining(10, "worker-1", true);
  ExpectViolations(history, RetryCheck(), 1);
  history.Draining(10, "worker-2", true);
  EXPECT_EQ(history.Examine(RetryCheck()).examined(), 0u);
}

}  // namespace
}  // namespace posthatch::fleettest
