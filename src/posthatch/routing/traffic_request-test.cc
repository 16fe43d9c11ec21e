#include "posthatch/routing/traffic_request.h"

#include <set>

#include "gmock/gmock.h"
#include "posthatch/routing/traffic_fixture-test.h"

namespace posthatch::routing {
namespace {

using http::CallProgress;

class TrafficRequestTest : public TrafficTest {
 protected:
  TrafficRequestTest() { Start(); }
};

TEST_F(TrafficRequestTest, ForwardsRequestAndRelaysResponse) {
  const auto writer = Send("once");
  EXPECT_EQ(Last().request.method, "POST");
  EXPECT_EQ(Last().request.target, "/once/x");
  EXPECT_EQ(Last().request.body, "body");
  EXPECT_EQ(Last().Field("Tenant"), "one");
  Respond(200, "answer");
  EXPECT_EQ(writer->sent_response.status, 200);
  EXPECT_EQ(writer->sent_response.body, "answer");
}

TEST_F(TrafficRequestTest, NonIdempotentIsNotRetriedIfPossiblyExecuted) {
  const auto writer = Send("once");
  Last().Error(CallProgress::kSent);
  EXPECT_EQ(client_.calls.size(), 1U);
  EXPECT_EQ(writer->sent_response.status, 502);
}

TEST_F(TrafficRequestTest, NonIdempotentIsRetriedIfNotExecuted) {
  const auto writer = Send("once");
  const std::string first = Last().endpoint;
  Head(503, "", /*rejected=*/true);
  ASSERT_EQ(client_.calls.size(), 2U);
  EXPECT_NE(Last().endpoint, first);
  Respond(200, "answer");
  EXPECT_EQ(writer->sent_response.status, 200);
}

TEST_F(TrafficRequestTest, OnlyRejectionsEndAsUnavailableWithRetryAfter) {
  const auto writer = Send("once");
  for (int i = 0; i < 10 && writer->responses == 0; ++i) Head(503, "", /*rejected=*/true);
  EXPECT_EQ(writer->sent_response.status, 503);
  EXPECT_TRUE(writer->sent_response.headers.Has("Retry"));
}

TEST_F(TrafficRequestTest, IsDispatchedOverEachConnectionOnce) {
  const auto writer = Send("once");
  std::vector<uint64_t> used;
  for (int i = 0; i < 10 && writer->responses == 0; ++i) {
    EXPECT_THAT(Last().options.pooled_connections.excluded, testing::ElementsAreArray(used));
    used.push_back(Last().connection.connection_id);
    Head(503, "", /*rejected=*/true);
  }
  EXPECT_EQ(used.size(), 4U);
}

TEST_F(TrafficRequestTest, RequestWithoutIdGetsConnectionOfItsOwn) {
  Send("once");
  EXPECT_FALSE(Last().options.fresh_connection);
  http::Request request;
  request.method = "POST";
  request.target = "/once/x";
  request.headers.Add("Host", "h");
  request.headers.Add("Key", "key-one");
  gateway_->HandleRequest(std::move(request), std::make_shared<gateway::FakeWriter>());
  EXPECT_TRUE(Last().options.fresh_connection);
}

TEST_F(TrafficRequestTest, TraceTellsConnectionOfEachRejection) {
  const auto writer = Send("once");
  const std::string first = Last().Field("Instance");
  const std::string connection = std::to_string(Last().connection.connection_id);
  Head(503, "", /*rejected=*/true);
  EXPECT_EQ(trace_.Field("UnusableResponse", "connection"), connection);
  EXPECT_EQ(trace_.Field("UnusableResponse", "matches_request"), "true");
  for (int i = 0; i < 10 && writer->responses == 0; ++i) Head(503, "", /*rejected=*/true);
  EXPECT_THAT(trace_.Field("RequestRefusedAfterDispatch", "failures"),
              testing::StartsWith(first + " " + connection + "/1 not_executed"));
}

TEST_F(TrafficRequestTest, TraceTellsResponsesOfOtherRequests) {
  const auto writer = Send("once");
  Head(200, "someone-else");
  EXPECT_EQ(trace_.Field("UnusableResponse", "matches_request"), "false");
  EXPECT_EQ(trace_.Field("RequestRefusedAfterDispatch", "failures"), "");
}

TEST_F(TrafficRequestTest, RejectionAfterPossibleExecutionIsNotUnavailable) {
  const auto writer = Send("often");
  Last().Error(CallProgress::kSent);
  ASSERT_EQ(client_.calls.size(), 2U);
  for (int i = 0; i < 10 && writer->responses == 0; ++i) Head(503, "", /*rejected=*/true);
  EXPECT_EQ(writer->sent_response.status, 502);
}

TEST_F(TrafficRequestTest, MismatchedResponseIsSkippedAndNeverRelayed) {
  for (const char* route : {"once", "often", "stream", "resume"}) {
    const auto writer = Send(route);
    const auto call = client_.calls.back();
    Head(200, "someone-else");
    Head(503, "someone-else", /*rejected=*/true);
    EXPECT_EQ(call->skipped, 2) << route;
    EXPECT_FALSE(call->cancelled) << route;
    EXPECT_EQ(client_.calls.back(), call) << route;
    Respond(200, "id: 1\ndata: own\n\n");
    EXPECT_EQ(writer->sent_response.body + writer->written, "id: 1\ndata: own\n\n") << route;
  }
}

TEST_F(TrafficRequestTest, MismatchedResponseThatCannotBeSkippedFailsDispatch) {
  const auto writer = Send("once");
  const auto call = client_.calls.back();
  call->can_skip = false;
  Head(200, "someone-else");
  call->Chunk("another response");
  call->End();
  timers_.Advance(milliseconds(1));
  EXPECT_EQ(writer->sent_response.status, 502);
  EXPECT_TRUE(call->cancelled);
}

TEST_F(TrafficRequestTest, LostAfterMismatchedResponseMayHaveExecuted) {
  const auto writer = Send("once");
  Head(200, "someone-else");
  Last().Error(CallProgress::kSent);
  EXPECT_EQ(client_.calls.size(), 1U);
  EXPECT_EQ(writer->sent_response.status, 502);
}

TEST_F(TrafficRequestTest, UnavailableAfterExecutionBecomesFailure) {
  const auto writer = Send("once");
  Respond(503, "executed");
  EXPECT_EQ(writer->sent_response.status, 502);
}

TEST_F(TrafficRequestTest, ExecutionsAreBoundedByRoute) {
  const auto writer = Send("often");
  Last().Error(CallProgress::kSent);
  Last().Error(CallProgress::kSent);
  EXPECT_EQ(client_.calls.size(), 2U);
  EXPECT_EQ(writer->sent_response.status, 502);
}

TEST_F(TrafficRequestTest, UnreachableWorkerIsEjectedAndCostsNoExecution) {
  const auto writer = Send("once");
  const std::string unreachable = Last().endpoint;
  Last().Error(CallProgress::kNotSent);
  ASSERT_EQ(client_.calls.size(), 2U);
  Respond(200, "answer");
  EXPECT_EQ(writer->sent_response.status, 200);
  for (int i = 0; i < 10; ++i) {
    Send("once");
    EXPECT_NE(Last().endpoint, unreachable);
    Respond(200, "answer");
  }
}

TEST_F(TrafficRequestTest, DisconnectCancelsWorkerCall) {
  const auto writer = Send("once");
  const auto call = client_.calls.back();
  writer->on_disconnect();
  timers_.Advance(milliseconds(1));
  EXPECT_TRUE(call->cancelled);
  EXPECT_EQ(writer->responses, 0);
}

TEST_F(TrafficRequestTest, DisconnectedCallerGetsNoDispatch) {
  for (const char* route : {"often", "resume"}) {
    const auto writer = Send(route);
    const auto call = client_.calls.back();
    const size_t before = client_.calls.size();
    writer->on_disconnect();
    timers_.Advance(seconds(3));
    EXPECT_TRUE(call->cancelled) << route;
    EXPECT_EQ(client_.calls.size(), before) << route;
    EXPECT_EQ(writer->responses, 0) << route;
  }
}

TEST_F(TrafficRequestTest, DisconnectedStreamIsNotResumed) {
  const auto writer = Send("resume");
  Head(200);
  const auto call = client_.calls.back();
  call->Chunk("id: 1\n\n");
  const size_t before = client_.calls.size();
  writer->on_disconnect();
  timers_.Advance(seconds(4));
  EXPECT_TRUE(call->cancelled);
  EXPECT_EQ(client_.calls.size(), before);
}

// Incident 34: a prompt that had been dispatched in time began after the deadline of its revision.
TEST_F(TrafficRequestTest, PromptThatWaitsUnderOutdatedRevisionIsCancelledAndRetried) {
  options_.revision_deadline = seconds(4);
  Start();
  const auto writer = Send("resume");
  const std::string first = Last().Field("Instance");
  view_.fleet.mutable_revisions(0)->set_revision(2);
  for (control::Backend& backend : *view_.fleet.mutable_inventory()->mutable_backends()) {
    if (backend.id() != first) backend.set_model_revision(2);
  }
  view_.Changed();
  timers_.Advance(milliseconds(3500));
  EXPECT_FALSE(client_.calls[0]->cancelled);
  timers_.Advance(milliseconds(300));
  EXPECT_TRUE(client_.calls[0]->cancelled);
  ASSERT_EQ(client_.calls.size(), 2U);
  EXPECT_EQ(Last().Field("Revision"), "2");
  Head(200);
  Last().Chunk("id: 1\ndata: x\n\n");
  Last().End();
  EXPECT_TRUE(writer->finished);
}

TEST_F(TrafficRequestTest, PromptThatBeganInTimeRunsOnUnderOutdatedRevision) {
  options_.revision_deadline = seconds(3);
  Start();
  Send("stream");
  Head(200);
  Last().Chunk("id: 1\ndata: x\n\n");
  view_.fleet.mutable_revisions(0)->set_revision(2);
  view_.Changed();
  timers_.Advance(milliseconds(3500));
  EXPECT_FALSE(client_.calls[0]->cancelled);
}

TEST_F(TrafficRequestTest, CancelledPromptThatMayHaveRunIsNotRepeated) {
  options_.revision_deadline = seconds(3);
  Start();
  const auto writer = Send("stream");
  view_.fleet.mutable_revisions(0)->set_revision(2);
  view_.Changed();
  timers_.Advance(milliseconds(2800));
  EXPECT_TRUE(client_.calls[0]->cancelled);
  EXPECT_EQ(client_.calls.size(), 1U);
  EXPECT_EQ(writer->sent_response.status, 502);
}

TEST_F(TrafficRequestTest, DeadlineRepliesTimeoutAtOnce) {
  const auto writer = Send("once");
  timers_.Advance(seconds(5));
  EXPECT_EQ(writer->sent_response.status, 504);
}

TEST_F(TrafficRequestTest, RelaysCompleteEventsAtOnce) {
  const auto writer = Send("stream");
  Head(200);
  EXPECT_TRUE(writer->started);
  Last().Chunk("id: 1\ndata: a\n\nid: 2\nda");
  EXPECT_EQ(writer->written, "id: 1\ndata: a\n\n");
  Last().Chunk("ta: b\n\n");
  EXPECT_EQ(writer->written, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  Last().End();
  EXPECT_TRUE(writer->finished);
}

TEST_F(TrafficRequestTest, StreamEndingWithinEventIsAborted) {
  const auto writer = Send("stream");
  Head(200);
  Last().Chunk("id: 1\ndata: a\n\nid: 2\nda");
  Last().End();
  EXPECT_TRUE(writer->aborted);
  EXPECT_FALSE(writer->finished);
  EXPECT_EQ(client_.calls.size(), 1U) << "the route's streams can't be resumed";
}

TEST_F(TrafficRequestTest, ResumesStreamWithoutGapOrDuplicate) {
  const auto writer = Send("resume");
  const std::string first = Last().endpoint;
  Head(200);
  Last().Chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
  Last().Error(CallProgress::kHeadReceived);
  ASSERT_EQ(client_.calls.size(), 2U);
  EXPECT_NE(Last().endpoint, first);
  EXPECT_EQ(Last().Field("After"), "2");
  Head(200);
  Last().Chunk("id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  Last().End();
  EXPECT_TRUE(writer->finished);
  EXPECT_EQ(writer->written, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
}

TEST_F(TrafficRequestTest, PlacesSharedPromptsTogether) {
  std::set<std::string> endpoints;
  for (int i = 0; i < 6; ++i) {
    Send("stream");
    endpoints.insert(Last().endpoint);
    Head(200);
    Last().Chunk("id: 1\ndata: a\n\n");
    Last().End();
    timers_.Advance(milliseconds(50));
  }
  EXPECT_EQ(endpoints.size(), 1U);
}

TEST_F(TrafficRequestTest, SaltMatchesExpectedRevision) {
  Send("stream");
  EXPECT_EQ(Last().Field("Revision"), "1");
  const std::string salt = Last().Field("Salt");
  view_.fleet.mutable_revisions(0)->set_revision(2);
  for (control::Backend& backend : *view_.fleet.mutable_inventory()->mutable_backends()) {
    if (backend.model() == "m") backend.set_model_revision(2);
  }
  view_.Changed();
  Send("stream");
  EXPECT_EQ(Last().Field("Revision"), "2");
  EXPECT_NE(Last().Field("Salt"), salt);
}

TEST_F(TrafficRequestTest, RetryUsesRevisionFromRejection) {
  Send("stream");
  http::Response head;
  head.status = 421;
  head.headers.Add("Id", Last().Field("Id"));
  head.headers.Add("Revision", "2");
  const std::string rejecting_worker = Last().endpoint;
  client_.calls.back()->observer.on_head(head);
  timers_.Advance(milliseconds(700));
  std::string expected;
  for (int i = 0; i < 30; ++i) {
    Send("stream");
    if (Last().endpoint == rejecting_worker) expected = Last().Field("Revision");
  }
  EXPECT_TRUE(expected.empty() || expected == "2");
}

}  // namespace
}  // namespace posthatch::routing
