#include <gtest/gtest.h>

#include "posthatch/gateway/gateway_fixture-test.h"
#include "posthatch/gateway/sse_stream_checker.h"

// A caller must never get parts of another request or run, nor an incomplete response as complete.
namespace posthatch::gateway {
namespace {

using ResponseTest = GatewayTest;

// Sends enough first attempts that the retry budget allows retries.
class RetryingTest : public GatewayTest {
 protected:
  void Prepare() {
    StartGateway();
    for (int request = 0; request < 20; ++request) {
      Complete();
      LastCall().GoodCompletion();
    }
  }
};

TEST_F(RetryingTest, LostResponseIsRetriedElsewhere) {
  Prepare();
  const auto writer = Complete();
  const std::string first = LastCall().endpoint;
  LastCall().Error(http::CallProgress::kSent);
  EXPECT_EQ(LastCall().Field("X-Posthatch-Attempt-Number"), "2");
  EXPECT_NE(LastCall().endpoint, first);
  LastCall().GoodCompletion();
  EXPECT_EQ(writer->sent_response.status, 200);
}

TEST_F(RetryingTest, AttemptsAreLimited) {
  Prepare();
  const auto writer = Complete();
  for (int attempt = 1; attempt <= 3; ++attempt) LastCall().Error(http::CallProgress::kSent);
  EXPECT_EQ(writer->sent_response.status, 502);
  EXPECT_TRUE(writer->BodyContains(R"("executed":"unknown")"));
  EXPECT_EQ(client.calls.size(), 23u);
}

TEST_F(RetryingTest, MismatchedResponseIsDropped) {
  Prepare();
  const auto writer = Complete();
  const auto mismatched_call = client.calls.back();
  mismatched_call->HeadFor("another attempt");
  EXPECT_EQ(client.calls.size(), 22u);
  mismatched_call->GoodCompletion();  // the rest of this call must be dropped too
  EXPECT_EQ(writer->responses, 0);
  timers.Advance(std::chrono::milliseconds(1));
  EXPECT_TRUE(mismatched_call->cancelled);
  LastCall().GoodCompletion();
  EXPECT_EQ(writer->responses, 1);
}

TEST_F(RetryingTest, BodyOfOtherRequestIsDropped) {
  Prepare();
  const auto writer = Complete();
  LastCall().CompleteResponse(200, R"({"id":"r","request_id":"other","choices":[{"text":"T"}]})");
  EXPECT_EQ(writer->responses, 0);
  EXPECT_EQ(client.calls.size(), 22u);
}

TEST_F(RetryingTest, WrongChecksumIsDropped) {
  Prepare();
  const auto writer = Complete();
  LastCall().CompleteResponse(
      200, absl::StrCat(R"({"id":"r","request_id":")", LastCall().Field("X-Request-Id"),
                        R"(","choices":[{"text":"T"}],"checksum":"12"})"));
  EXPECT_EQ(writer->responses, 0);
}

TEST_F(RetryingTest, RejectionBeforeRunIsNotExecuted) {
  Prepare();
  const auto writer = Complete();
  for (int attempt = 1; attempt <= 3; ++attempt) {
    LastCall().CompleteResponse(503, R"({"error":{"code":"loading","executed":"no"}})");
  }
  EXPECT_EQ(writer->sent_response.status, 503);
  EXPECT_TRUE(writer->BodyContains(R"("executed":"no")"));
}

TEST_F(RetryingTest, StreamIsRetriedOnlyBeforeFirstByte) {
  Prepare();
  const auto writer = Complete(true);
  LastCall().Head();
  LastCall().Error(http::CallProgress::kHeadReceived);
  ASSERT_EQ(client.calls.size(), 22u);
  LastCall().Head();
  LastCall().Chunk(LastCall().Event(0));
  LastCall().Error(http::CallProgress::kHeadReceived);
  EXPECT_EQ(client.calls.size(), 22u);
  EXPECT_TRUE(writer->aborted);
  EXPECT_FALSE(writer->finished);
  EXPECT_NE(writer->written.find("event: error"), std::string::npos);
}

TEST_F(ResponseTest, StreamWithoutDoneIsIncomplete) {
  StartGateway();
  const auto writer = Complete(true);
  LastCall().Head();
  LastCall().Chunk(LastCall().Event(0));
  LastCall().End();
  EXPECT_TRUE(writer->aborted);
  EXPECT_FALSE(writer->finished);
}

TEST_F(ResponseTest, CallerDisconnectCancelsAttempt) {
  StartGateway();
  const auto writer = Complete(true);
  LastCall().Head();
  LastCall().Chunk(LastCall().Event(0));
  writer->on_disconnect();
  timers.Advance(std::chrono::milliseconds(1));
  EXPECT_TRUE(LastCall().cancelled);
}

TEST_F(ResponseTest, SlowReaderBufferIsLimited) {
  options.max_stream_buffer_bytes = 1000;
  StartGateway();
  const auto writer = Complete(true);
  writer->slow = true;
  LastCall().Head();
  int piece = 0;
  while (!LastCall().paused && piece < 100) LastCall().Chunk(LastCall().Event(piece++));
  EXPECT_TRUE(LastCall().paused);
  EXPECT_LT(writer->buffered, 1200u);
  writer->buffered = 0;
  writer->on_writable();
  EXPECT_FALSE(LastCall().paused);
}

TEST_F(ResponseTest, StalledReaderIsAborted) {
  options.max_stream_buffer_bytes = 10;
  StartGateway();
  const auto writer = Complete(true);
  writer->slow = true;
  LastCall().Head();
  LastCall().Chunk(LastCall().Event(0));
  timers.Advance(std::chrono::seconds(31));
  EXPECT_TRUE(writer->aborted);
  EXPECT_TRUE(LastCall().cancelled);
}

std::string MakePieceEvent(const std::string& run, const std::string& request,
                           const std::string& number) {
  return "data: {\"id\":\"" + run + "\",\"request_id\":\"" + request + "\",\"piece\":" + number +
         ",\"choices\":[]}\n\n";
}

TEST(SseStreamCheckerTest, AcceptsAnyChunking) {
  std::string stream;
  for (int piece = 0; piece < 20; ++piece)
    stream += MakePieceEvent("r", "q", std::to_string(piece));
  for (size_t length = 1; length < 200; ++length) {
    SseStreamChecker checker("q");
    std::string forwarded;
    const std::string whole = stream + std::string(SseStreamChecker::kDoneEvent);
    for (size_t start = 0; start < whole.size(); start += length) {
      const auto events = checker.Feed(whole.substr(start, length));
      ASSERT_TRUE(events.ok()) << events.status() << " chunks of " << length;
      forwarded += *events;
    }
    EXPECT_TRUE(checker.Finish().ok());
    EXPECT_EQ(forwarded, stream);
  }
}

TEST(SseStreamCheckerTest, RejectsIncompleteOrMixedRuns) {
  const std::string valid = MakePieceEvent("r", "q", "0") + MakePieceEvent("r", "q", "1");
  const std::string invalid_streams[] = {
      valid + MakePieceEvent("r", "q", "3"),    // a piece is missing
      valid + MakePieceEvent("r", "q", "1"),    // a piece is repeated
      valid + MakePieceEvent("s", "q", "2"),    // piece of another run
      valid + MakePieceEvent("r", "p", "2"),    // piece of another request
      valid + MakePieceEvent("r", "q", "2.5"),  // not a piece number
      valid + MakePieceEvent("r", "q", "02"),   // not JSON
      MakePieceEvent("r", "p", "0"),            // all pieces of another request
      MakePieceEvent("r", "q", "1"),            // the first piece is missing
      valid + "event: error\ndata: {}\n\n",     // an error of the worker
      valid + "data: {\"id\":\"r\"\n\n",        // truncated
      valid + "data: [DONE]\n\ndata: [DONE]\n\n",
      valid + "data: [DONE]\n\nx",
      "data: [DONE]\n\n",  // no pieces
  };
  for (const std::string& stream : invalid_streams) {
    SseStreamChecker checker("q");
    EXPECT_FALSE(checker.Feed(stream).ok()) << stream;
  }
  SseStreamChecker unfinished("q");
  EXPECT_TRUE(unfinished.Feed(valid).ok());
  EXPECT_FALSE(unfinished.Finish().ok());
  EXPECT_FALSE(SseStreamChecker("q").Feed(std::string(2UL * 1024 * 1024, 'x')).ok());
}

TEST(SseStreamCheckerTest, IgnoresPieceKeyInNestedObjects) {
  const auto event = [](int number, const std::string& run) {
    return "data: {\"choices\":[{\"piece\":" + std::to_string(number) + "}],\"id\":\"" + run +
           "\",\"request_id\":\"q\",\"piece\":" + std::to_string(number) + "}\n\n";
  };
  SseStreamChecker checker("q");
  EXPECT_TRUE(checker.Feed(event(0, "r") + event(1, "r")).ok());
  EXPECT_FALSE(checker.Feed(event(2, "s")).ok());
}

}  // namespace
}  // namespace posthatch::gateway
