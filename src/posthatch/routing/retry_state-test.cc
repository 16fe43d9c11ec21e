#include "posthatch/routing/retry_state.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>

namespace posthatch::routing {
namespace {

struct RetryCase {
  const char* name;
  control::RouteKind kind;
  bool resumable;
  DispatchFailure failure;
  bool may_retry;
};

class RetryStateTest : public testing::TestWithParam<RetryCase> {};

TEST_P(RetryStateTest, RetriesOnlyIfIdempotentOrNotExecuted) {
  control::TrafficRoute route;
  route.set_kind(GetParam().kind);
  route.set_resumable(GetParam().resumable);
  route.set_max_attempts(2);
  const RoutingSwitches switches;
  RetryState retries(&route, &switches);
  EXPECT_FALSE(retries.HasReachedWorker());
  retries.RecordFailure({.failure = GetParam().failure, .worker_id = "w1"});
  EXPECT_EQ(retries.MayRetry(/*stream_started=*/false), GetParam().may_retry);
  EXPECT_STREQ(retries.last_failure(), FailureLabel(GetParam().failure));
  EXPECT_THAT(retries.attempted_workers(), testing::ElementsAre("w1"));
}

constexpr RetryCase kRetryCases[] = {
    {"UnreachableNonIdempotent", control::NON_IDEMPOTENT, false, DispatchFailure::kUnreachable,
     true},
    {"NotExecutedNonIdempotent", control::NON_IDEMPOTENT, false, DispatchFailure::kNotExecuted,
     true},
    {"MisdirectedNonIdempotent", control::NON_IDEMPOTENT, false, DispatchFailure::kMisdirected,
     true},
    {"LostNonIdempotent", control::NON_IDEMPOTENT, false, DispatchFailure::kLost, false},
    {"TruncatedNonIdempotent", control::NON_IDEMPOTENT, false, DispatchFailure::kTruncated, false},
    {"MismatchedNonIdempotent", control::NON_IDEMPOTENT, false, DispatchFailure::kMismatched,
     false},
    {"ServerErrorNonIdempotent", control::NON_IDEMPOTENT, false, DispatchFailure::kServerError,
     false},
    {"LostIdempotent", control::IDEMPOTENT, false, DispatchFailure::kLost, true},
    {"LostStream", control::STREAMING, false, DispatchFailure::kLost, false},
    {"LostResumableStream", control::STREAMING, true, DispatchFailure::kLost, true},
};

INSTANTIATE_TEST_SUITE_P(Failures, RetryStateTest, testing::ValuesIn(kRetryCases),
                         [](const auto& info) { return std::string(info.param.name); });

TEST(RetryStateBoundTest, ExecutionsAreBoundedByRoute) {
  control::TrafficRoute route;
  route.set_kind(control::IDEMPOTENT);
  route.set_max_attempts(2);
  const RoutingSwitches switches;
  RetryState retries(&route, &switches);
  EXPECT_TRUE(retries.MayRetry(/*stream_started=*/false, /*unrecorded_executions=*/1));
  EXPECT_FALSE(retries.MayRetry(/*stream_started=*/false, /*unrecorded_executions=*/2));
  retries.RecordFailure({.failure = DispatchFailure::kLost, .worker_id = "w1"});
  EXPECT_FALSE(retries.MayRetry(/*stream_started=*/false, /*unrecorded_executions=*/1));
  EXPECT_EQ(retries.possible_executions(), 1U);
}

}  // namespace
}  // namespace posthatch::routing
