#include "posthatch/net/beast_http_client.h"

#include <optional>
#include <string>

#include "absl/strings/str_cat.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "posthatch/net/raw_socket-test.h"

namespace posthatch::net {
namespace {

using std::chrono::milliseconds;

// Records the callbacks of one call.
struct Outcome {
  std::optional<http::Response> head;
  std::string body;
  bool ended = false;
  std::optional<http::CallError> error;
  bool finished() const { return ended || error.has_value(); }

  http::CallObserver Observer() {
    http::CallObserver observer;
    observer.on_head = [this](const http::Response& received) { head = received; };
    observer.on_chunk = [this](const std::string& chunk) { body += chunk; };
    observer.on_end = [this] { ended = true; };
    observer.on_error = [this](const http::CallError& received) { error = received; };
    return observer;
  }
};

class HttpClientTest : public ::testing::Test {
 protected:
  HttpClientTest() : runtime_(MakeTestRuntime()) {
    options_.head_timeout = milliseconds(150);
    options_.body_idle_timeout = milliseconds(150);
  }

  std::unique_ptr<http::Call> Start(const std::string& endpoint, Outcome* outcome) {
    http::Request request;
    request.method = "POST";
    request.target = "/x";
    request.body = "body";
    auto call = runtime_->runtime()->http_client->Start(endpoint, std::move(request), options_,
                                                        outcome->Observer());
    EXPECT_FALSE(outcome->finished()) << "callback before Start returned";
    return call;
  }

  void WaitUntilFinished(const Outcome& outcome) {
    EXPECT_TRUE(
        runtime_->RunUntil([&outcome] { return outcome.finished(); }, std::chrono::seconds(5)));
  }

  // Runs a call against a server that sends `response` and then closes the connection.
  Outcome CallWithResponse(const std::string& response) {
    RawListener listener;
    Outcome outcome;
    const auto call = Start(listener.endpoint(), &outcome);
    RawSocket server = listener.Accept(runtime_.get());
    server.ReadUntil(runtime_.get(), "body");
    server.Send(runtime_.get(), response);
    server.Close();
    WaitUntilFinished(outcome);
    return outcome;
  }

  double SurplusResponses() const {
    for (const prometheus::MetricFamily& family : runtime_->runtime()->metrics->Collect()) {
      if (family.name == "posthatch_http_client_surplus_responses_total") {
        return family.metric.front().counter.value;
      }
    }
    return -1;
  }

  static void ExpectError(const Outcome& outcome, absl::StatusCode code,
                          http::CallProgress progress) {
    ASSERT_TRUE(outcome.error.has_value());
    EXPECT_FALSE(outcome.ended);
    EXPECT_EQ(outcome.error->status.code(), code) << outcome.error->status;
    EXPECT_EQ(outcome.error->progress, progress);
  }

  std::unique_ptr<AsioRuntime> runtime_;
  http::CallOptions options_;
};

TEST_F(HttpClientTest, RefusedConnectionIsNotSent) {
  std::string endpoint;
  {
    const RawListener closed;
    endpoint = closed.endpoint();
  }
  Outcome outcome;
  const auto call = Start(endpoint, &outcome);
  WaitUntilFinished(outcome);
  ExpectError(outcome, absl::StatusCode::kUnavailable, http::CallProgress::kNotSent);
}

TEST_F(HttpClientTest, MalformedEndpointOrFieldIsNotSent) {
  Outcome outcome;
  const auto call = Start("no endpoint", &outcome);
  WaitUntilFinished(outcome);
  ExpectError(outcome, absl::StatusCode::kInvalidArgument, http::CallProgress::kNotSent);

  const RawListener listener;
  Outcome split;
  http::Request request;
  request.method = "GET";
  request.target = "/x HTTP/1.1\r\nX-Injected: y";
  const auto second = runtime_->runtime()->http_client->Start(listener.endpoint(), request,
                                                              options_, split.Observer());
  WaitUntilFinished(split);
  ExpectError(split, absl::StatusCode::kInvalidArgument, http::CallProgress::kNotSent);
}

TEST_F(HttpClientTest, ConnectionClosedWithoutResponseMayHaveExecuted) {
  ExpectError(CallWithResponse(""), absl::StatusCode::kUnavailable, http::CallProgress::kSent);
  ExpectError(CallWithResponse("HTTP/1.1 200 O"), absl::StatusCode::kUnavailable,
              http::CallProgress::kSent);
}

TEST_F(HttpClientTest, TruncatedOrMalformedResponsesAreNeverComplete) {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::vector<std::string> truncated = {
      ok + "Content-Length: 10\r\n\r\nabc",
      ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nab",
      ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
      ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
      ok + "Transfer-Encoding: chunked\r\n\r\nnonsense\r\n",
      ok + "\r\ndelimited by close, like a truncated body",
  };
  for (const std::string& response : truncated) {
    SCOPED_TRACE(response);
    ExpectError(CallWithResponse(response), absl::StatusCode::kDataLoss,
                http::CallProgress::kHeadReceived);
  }
  ExpectError(CallWithResponse("SSH-2.0-nonsense\r\n\r\n"), absl::StatusCode::kDataLoss,
              http::CallProgress::kSent);
}

TEST_F(HttpClientTest, CompleteResponsesAreReported) {
  const Outcome sized = CallWithResponse("HTTP/1.1 201 OK\r\nA: b\r\nContent-Length: 3\r\n\r\nabc");
  EXPECT_TRUE(sized.ended);
  EXPECT_EQ(sized.head->status, 201);
  EXPECT_EQ(sized.head->headers.Get("a"), "b");
  EXPECT_EQ(sized.body, "abc");
  const Outcome chunked = CallWithResponse(
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\nX-Trailer: t\r\n\r\n");
  EXPECT_TRUE(chunked.ended);
  EXPECT_EQ(chunked.head->status, 200);
  EXPECT_EQ(chunked.body, "abcde");
  EXPECT_FALSE(chunked.head->headers.Has("X-Trailer"));
}

TEST_F(HttpClientTest, CloseDelimitedResponseNeedsOption) {
  options_.accept_close_delimited = true;
  const Outcome outcome = CallWithResponse("HTTP/1.1 200 OK\r\n\r\nuntil the end");
  EXPECT_TRUE(outcome.ended);
  EXPECT_EQ(outcome.body, "until the end");
  ExpectError(CallWithResponse("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"),
              absl::StatusCode::kDataLoss, http::CallProgress::kHeadReceived);
}

TEST_F(HttpClientTest, ReusesConnectionOnlyWithinIdleFraction) {
  std::vector<uint64_t> connections;
  auto server = runtime_->runtime()->http_servers->Listen(
      "127.0.0.1:0", {},
      [&](const http::Request& request, const std::shared_ptr<http::ResponseWriter>& writer) {
        connections.push_back(request.connection_id);
        writer->SendResponse({});
      });
  for (const double max_idle_fraction : {0.75, 0.75, 0.0}) {
    options_.pooled_connections.max_idle_fraction = max_idle_fraction;
    Outcome outcome;
    const auto call = Start((*server)->endpoint(), &outcome);
    WaitUntilFinished(outcome);
  }
  ASSERT_EQ(connections.size(), 3U);
  EXPECT_EQ(connections[0], connections[1]);
  EXPECT_NE(connections[1], connections[2]);
}

TEST_F(HttpClientTest, AbortedStreamIsDataLoss) {
  auto server = runtime_->runtime()->http_servers->Listen(
      "127.0.0.1:0", {},
      [](const http::Request&, const std::shared_ptr<http::ResponseWriter>& writer) {
        writer->StartStream({});
        writer->WriteChunk("piece");
        writer->Abort();
      });
  Outcome outcome;
  const auto call = Start((*server)->endpoint(), &outcome);
  WaitUntilFinished(outcome);
  EXPECT_EQ(outcome.body, "piece");
  ExpectError(outcome, absl::StatusCode::kDataLoss, http::CallProgress::kHeadReceived);
}

TEST_F(HttpClientTest, UnresponsiveServerHitsTimeouts) {
  RawListener listener;
  Outcome before_head;
  const auto first = Start(listener.endpoint(), &before_head);
  WaitUntilFinished(before_head);
  ExpectError(before_head, absl::StatusCode::kDeadlineExceeded, http::CallProgress::kSent);
  const RawSocket ignored = listener.Accept(runtime_.get());

  Outcome in_body;
  const auto second = Start(listener.endpoint(), &in_body);
  RawSocket server = listener.Accept(runtime_.get());
  server.Send(runtime_.get(), "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
  WaitUntilFinished(in_body);
  ExpectError(in_body, absl::StatusCode::kDeadlineExceeded, http::CallProgress::kHeadReceived);
}

TEST_F(HttpClientTest, ReusesConnectionUnlessFreshIsRequested) {
  std::vector<uint64_t> connections;
  auto server = runtime_->runtime()->http_servers->Listen(
      "127.0.0.1:0", {},
      [&](const http::Request& request, const std::shared_ptr<http::ResponseWriter>& writer) {
        connections.push_back(request.connection_id);
        writer->SendResponse({});
      });
  for (const bool fresh : {false, false, true, false}) {
    options_.fresh_connection = fresh;
    Outcome outcome;
    const auto call = Start((*server)->endpoint(), &outcome);
    WaitUntilFinished(outcome);
    EXPECT_TRUE(outcome.ended);
  }
  ASSERT_EQ(connections.size(), 4u);
  EXPECT_EQ(connections[0], connections[1]);
  EXPECT_NE(connections[0], connections[2]);
  EXPECT_EQ(connections[0], connections[3]);
}

// A call that skips every response whose field "Id" isn't "own".
class HttpClientSkipTest : public HttpClientTest {
 protected:
  HttpClientSkipTest() {
    http::CallObserver observer = outcome_.Observer();
    observer.on_head = [this](const http::Response& head) {
      if (head.headers.Get("Id") == "own") {
        outcome_.head = head;
      } else {
        skipped_.push_back(call_->SkipResponse());
      }
    };
    http::Request request;
    request.method = "POST";
    request.target = "/x";
    request.body = "body";
    call_ = runtime_->runtime()->http_client->Start(listener_.endpoint(), std::move(request),
                                                    options_, std::move(observer));
    server_.emplace(listener_.Accept(runtime_.get()));
    server_->ReadUntil(runtime_.get(), "body");
  }

  RawListener listener_;
  Outcome outcome_;
  std::vector<bool> skipped_;
  std::unique_ptr<http::Call> call_;
  std::optional<RawSocket> server_;
};

constexpr char kForeignSized[] = "HTTP/1.1 503 No\r\nId: other\r\nContent-Length: 3\r\n\r\nxyz";
constexpr char kForeignChunked[] =
    "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nxyz\r\n0\r\n\r\n";
constexpr char kOwn[] = "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 3\r\n\r\nabc";

TEST_F(HttpClientSkipTest, DeliversOnlyTheResponseBehindSkippedOnes) {
  server_->Send(runtime_.get(), absl::StrCat(kForeignSized, kForeignChunked, kOwn));
  WaitUntilFinished(outcome_);
  EXPECT_THAT(skipped_, testing::ElementsAre(true, true));
  EXPECT_TRUE(outcome_.ended);
  EXPECT_EQ(outcome_.head->status, 200);
  EXPECT_EQ(outcome_.body, "abc");
  EXPECT_EQ(SurplusResponses(), 2);
  EXPECT_TRUE(runtime_->runtime()->http_client->HasPooledConnection(listener_.endpoint(), {}));
}

TEST_F(HttpClientSkipTest, DeliversResponseThatComesInPieces) {
  constexpr size_t kPieceBytes = 7;
  const std::string bytes = absl::StrCat(kForeignChunked, kForeignSized, kOwn);
  for (size_t sent = 0; sent < bytes.size(); sent += kPieceBytes) {
    server_->Send(runtime_.get(), bytes.substr(sent, kPieceBytes));
    RunFor(runtime_.get(), std::chrono::microseconds(100));
  }
  WaitUntilFinished(outcome_);
  EXPECT_TRUE(outcome_.ended);
  EXPECT_EQ(outcome_.body, "abc");
}

TEST_F(HttpClientSkipTest, NothingBehindSkippedResponseMayHaveExecuted) {
  server_->Send(runtime_.get(), kForeignSized);
  WaitUntilFinished(outcome_);
  ExpectError(outcome_, absl::StatusCode::kDeadlineExceeded, http::CallProgress::kSent);
}

TEST_F(HttpClientSkipTest, ConnectionClosedWithinSkippedResponseMayHaveExecuted) {
  const std::string response = kForeignSized;
  server_->Send(runtime_.get(), response.substr(0, response.size() - 1));
  RunFor(runtime_.get(), milliseconds(20));
  server_->Close();
  WaitUntilFinished(outcome_);
  ASSERT_TRUE(outcome_.error.has_value());
  EXPECT_EQ(outcome_.error->progress, http::CallProgress::kSent);
}

TEST_F(HttpClientSkipTest, LastResponseOfConnectionCannotBeSkipped) {
  server_->Send(runtime_.get(),
                "HTTP/1.1 200 OK\r\nId: other\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
  WaitUntilFinished(outcome_);
  EXPECT_THAT(skipped_, testing::ElementsAre(false));
}

TEST_F(HttpClientTest, DoesNotReuseExcludedConnection) {
  RawListener listener;
  Outcome outcomes[2];
  const auto older = Start(listener.endpoint(), &outcomes[0]);
  const auto newer = Start(listener.endpoint(), &outcomes[1]);
  RawSocket servers[2] = {listener.Accept(runtime_.get()), listener.Accept(runtime_.get())};
  for (int i = 0; i < 2; ++i) {
    servers[i].ReadUntil(runtime_.get(), "body");
    servers[i].Send(runtime_.get(), "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    WaitUntilFinished(outcomes[i]);
  }
  const uint64_t older_id = older->connection_use().connection_id;
  const uint64_t newer_id = newer->connection_use().connection_id;
  const auto connection_of_next_call = [&] {
    Outcome outcome;
    return Start(listener.endpoint(), &outcome)->connection_use().connection_id;
  };
  const auto has_pooled_connection = [&] {
    return runtime_->runtime()->http_client->HasPooledConnection(listener.endpoint(),
                                                                 options_.pooled_connections);
  };
  options_.pooled_connections.excluded = {newer_id};
  EXPECT_TRUE(has_pooled_connection());
  EXPECT_EQ(connection_of_next_call(), older_id);  // and closes it
  EXPECT_FALSE(has_pooled_connection());
  EXPECT_NE(connection_of_next_call(), newer_id);
  options_.pooled_connections.excluded.clear();
  EXPECT_TRUE(has_pooled_connection());
  EXPECT_EQ(connection_of_next_call(), newer_id);
}

TEST_F(HttpClientTest, DoesNotReuseConnectionClosedByServer) {
  RawListener listener;
  Outcome first;
  const auto call = Start(listener.endpoint(), &first);
  {
    RawSocket server = listener.Accept(runtime_.get());
    server.ReadUntil(runtime_.get(), "body");
    server.Send(runtime_.get(), "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    WaitUntilFinished(first);
  }
  RunFor(runtime_.get(), milliseconds(20));
  Outcome second;
  const auto next = Start(listener.endpoint(), &second);
  RawSocket server = listener.Accept(runtime_.get());
  server.ReadUntil(runtime_.get(), "body");
  server.Send(runtime_.get(), "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  WaitUntilFinished(second);
  EXPECT_TRUE(second.ended);
}

TEST_F(HttpClientTest, UnsolicitedBytesCloseConnection) {
  RawListener listener;
  Outcome first;
  const auto call = Start(listener.endpoint(), &first);
  RawSocket server = listener.Accept(runtime_.get());
  server.ReadUntil(runtime_.get(), "body");
  const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  server.Send(runtime_.get(),
              response + response);  // a second response must not be delivered to another call
  WaitUntilFinished(first);
  EXPECT_TRUE(first.ended);
  server.ReadToEnd(runtime_.get());
  EXPECT_TRUE(server.ended());
  EXPECT_EQ(SurplusResponses(), 1);
}

TEST_F(HttpClientTest, BytesOnIdleConnectionCloseIt) {
  RawListener listener;
  Outcome first;
  const auto call = Start(listener.endpoint(), &first);
  RawSocket server = listener.Accept(runtime_.get());
  server.ReadUntil(runtime_.get(), "body");
  const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  server.Send(runtime_.get(), response);
  WaitUntilFinished(first);
  server.Send(runtime_.get(), response);
  server.ReadToEnd(runtime_.get());
  EXPECT_TRUE(server.ended());
  EXPECT_EQ(SurplusResponses(), 1);
}

TEST_F(HttpClientTest, TellsTheConnectionOfACall) {
  RawListener listener;
  Outcome first;
  const auto call = Start(listener.endpoint(), &first);
  RawSocket server = listener.Accept(runtime_.get());
  server.ReadUntil(runtime_.get(), "body");
  server.Send(runtime_.get(), "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  WaitUntilFinished(first);
  Outcome pooled;
  const auto second = Start(listener.endpoint(), &pooled);
  Outcome unpooled;
  const auto third = Start(listener.endpoint(), &unpooled);
  EXPECT_EQ(call->connection_use().call_number, 1U);
  EXPECT_EQ(second->connection_use().call_number, 2U);
  EXPECT_EQ(second->connection_use().connection_id, call->connection_use().connection_id);
  EXPECT_EQ(third->connection_use().call_number, 1U);
  EXPECT_NE(third->connection_use().connection_id, call->connection_use().connection_id);
}

TEST_F(HttpClientTest, StoppedReadingAppliesBackpressureWithoutTimeout) {
  constexpr size_t kBody = 32UL * 1024 * 1024;
  RawListener listener;
  Outcome outcome;
  const auto call = Start(listener.endpoint(), &outcome);
  RawSocket server = listener.Accept(runtime_.get());
  server.ReadUntil(runtime_.get(), "body");
  server.Send(runtime_.get(),
              "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBody) + "\r\n\r\nabc");
  runtime_->RunUntil([&] { return outcome.body == "abc"; }, std::chrono::seconds(5));
  call->StopReading();
  server.Send(runtime_.get(), "def");
  RunFor(runtime_.get(), milliseconds(300));  // longer than body_idle_timeout
  EXPECT_EQ(outcome.body, "abc");
  EXPECT_FALSE(outcome.finished());
  call->ResumeReading();
  server.Send(runtime_.get(), std::string(kBody - 6, 'x'));
  WaitUntilFinished(outcome);
  EXPECT_TRUE(outcome.ended);
  EXPECT_EQ(outcome.body.size(), kBody);
}

TEST_F(HttpClientTest, DestroyedHandleClosesConnectionWithoutCallback) {
  bool disconnected = false;
  auto server = runtime_->runtime()->http_servers->Listen(
      "127.0.0.1:0", {},
      [&](const http::Request&, const std::shared_ptr<http::ResponseWriter>& writer) {
        writer->StartStream({});
        writer->OnCallerDisconnected([&disconnected, writer] { disconnected = true; });
      });
  Outcome outcome;
  auto call = Start((*server)->endpoint(), &outcome);
  runtime_->RunUntil([&] { return outcome.head.has_value(); }, std::chrono::seconds(5));
  call.reset();
  EXPECT_TRUE(runtime_->RunUntil([&] { return disconnected; }, std::chrono::seconds(5)));
  EXPECT_FALSE(outcome.finished());
}

// Guards against a request that the kernel buffered during a partition and would deliver after the
// call has failed.
TEST_F(HttpClientTest, CancelledCallResetsConnection) {
  RawListener listener;
  Outcome outcome;
  auto call = Start(listener.endpoint(), &outcome);
  RawSocket server = listener.Accept(runtime_.get());
  server.ReadUntil(runtime_.get(), "body");
  call.reset();
  server.ReadToEnd(runtime_.get());
  EXPECT_TRUE(server.was_reset());
}

TEST_F(HttpClientTest, TimedOutCallResetsConnection) {
  RawListener listener;
  Outcome outcome;
  const auto call = Start(listener.endpoint(), &outcome);
  RawSocket server = listener.Accept(runtime_.get());
  server.ReadUntil(runtime_.get(), "body");
  WaitUntilFinished(outcome);
  server.ReadToEnd(runtime_.get());
  EXPECT_TRUE(server.was_reset());
}

// A call on a pooled connection whose server has become unreachable: the request must not be
// delivered after the call has failed.
TEST_F(HttpClientTest, UndeliveredCallFailsEarlyAndNeverArrives) {
  AsioRuntimeOptions with_faults;
  with_faults.enable_fault_injection = true;
  runtime_ = MakeTestRuntime(with_faults);
  options_.head_timeout = std::chrono::seconds(20);
  RawListener listener;
  Outcome first;
  const auto completed = Start(listener.endpoint(), &first);
  RawSocket server = listener.Accept(runtime_.get());
  server.ReadUntil(runtime_.get(), "body");
  server.Send(runtime_.get(), "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  WaitUntilFinished(first);
  server.ClearReceived();
  FaultRules partition;
  partition.drop_to.insert(listener.endpoint());
  runtime_->faults()->SetRules(partition);
  Outcome second;
  const auto lost = Start(listener.endpoint(), &second);
  WaitUntilFinished(second);
  ExpectError(second, absl::StatusCode::kUnavailable, http::CallProgress::kNotSent);
  runtime_->faults()->SetRules({});
  EXPECT_EQ(server.ReadToEnd(runtime_.get()), "");
  EXPECT_TRUE(server.was_reset());
}

TEST_F(HttpClientTest, WaitsForSlowServerWithDeliveredRequest) {
  options_.head_timeout = std::chrono::seconds(5);
  RawListener listener;
  Outcome outcome;
  const auto call = Start(listener.endpoint(), &outcome);
  RawSocket server = listener.Accept(runtime_.get());
  server.ReadUntil(runtime_.get(), "body");
  runtime_->RunUntil([&] { return outcome.finished(); }, milliseconds(1000));
  EXPECT_FALSE(outcome.finished());
  server.Send(runtime_.get(), "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  WaitUntilFinished(outcome);
  EXPECT_TRUE(outcome.ended);
}

TEST_F(HttpClientTest, HandleMayBeDestroyedInCallback) {
  RawListener listener;
  std::unique_ptr<http::Call> call;
  Outcome outcome;
  http::CallObserver observer = outcome.Observer();
  observer.on_chunk = [&call](const std::string&) { call.reset(); };
  call = runtime_->runtime()->http_client->Start(
      listener.endpoint(), {.method = "GET", .target = "/", .headers = {}, .body = {}}, options_,
      observer);
  RawSocket server = listener.Accept(runtime_.get());
  server.Send(runtime_.get(), "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc");
  server.ReadToEnd(runtime_.get());
  EXPECT_TRUE(server.ended());
  EXPECT_FALSE(outcome.finished());
}

TEST_F(HttpClientTest, RejectsOversizedResponse) {
  options_.max_body_bytes = 5;
  ExpectError(CallWithResponse("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nabcdef"),
              absl::StatusCode::kDataLoss, http::CallProgress::kHeadReceived);
  ExpectError(
      CallWithResponse("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n"),
      absl::StatusCode::kDataLoss, http::CallProgress::kHeadReceived);
}

}  // namespace
}  // namespace posthatch::net
