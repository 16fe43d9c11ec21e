#include "posthatch/net/beast_http_server.h"

#include <boost/json.hpp>
#include <random>

#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "posthatch/net/raw_socket-test.h"

namespace posthatch::net {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;
using ::testing::StartsWith;

constexpr const char* kValidRequest = "GET /good HTTP/1.1\r\nHost: x\r\n\r\n";

class HttpServerTest : public ::testing::Test {
 protected:
  HttpServerTest() : runtime_(MakeTestRuntime()) {
    limits_.max_header_bytes = 4096;
    limits_.max_body_bytes = 10000;
    limits_.header_timeout = std::chrono::milliseconds(150);
    limits_.body_timeout = std::chrono::milliseconds(150);
    limits_.idle_timeout = std::chrono::milliseconds(300);
    handler_ = [](const http::Request& request,
                  const std::shared_ptr<http::ResponseWriter>& writer) {
      writer->SendResponse({.status = 200, .headers = {}, .body = "echo:" + request.body});
    };
  }

  void Listen() {
    auto server = runtime_->runtime()->http_servers->Listen(
        "127.0.0.1:0", limits_,
        [this](http::Request request, std::shared_ptr<http::ResponseWriter> writer) {
          ++handled_;
          handler_(std::move(request), std::move(writer));
        });
    ASSERT_TRUE(server.ok()) << server.status();
    server_ = *std::move(server);
  }

  RawSocket Connect() { return RawSocket::Connect(server_->endpoint()); }

  // The server's response to `bytes`, until it closes or stops sending.
  std::string Exchange(const std::string& bytes) {
    RawSocket socket = Connect();
    socket.Send(runtime_.get(), bytes);
    return socket.ReadToEnd(runtime_.get(), std::chrono::milliseconds(800));
  }

  void ExpectStillServing() {
    RawSocket socket = Connect();
    socket.Send(runtime_.get(), kValidRequest);
    EXPECT_THAT(socket.ReadUntil(runtime_.get(), "echo:"), StartsWith("HTTP/1.1 200"));
  }

  std::unique_ptr<AsioRuntime> runtime_;
  http::ServerLimits limits_;
  http::Handler handler_;
  int handled_ = 0;
  std::unique_ptr<http::HttpServer> server_;
};

struct MalformedRequest {
  std::string name;
  std::string bytes;
  std::string status;  // expected status; empty: closed without a response
};

TEST_F(HttpServerTest, MalformedRequestGetsErrorAndServingContinues) {
  Listen();
  const std::string big_field = "X: " + std::string(10UL * 1024 * 1024, 'a');
  const std::vector<MalformedRequest> cases = {
      {"binary", std::string("\x00\x01\x02\xff\xfe\r\n\r\n", 9), "400"},
      {"no method", " / HTTP/1.1\r\n\r\n", "400"},
      {"bad version", "GET / HTTP/9.9\r\n\r\n", "400"},
      {"TLS hello", std::string("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\r\n\r\n", 13), "400"},
      {"field without colon", "GET / HTTP/1.1\r\nabc\r\n\r\n", "400"},
      {"space before colon", "GET / HTTP/1.1\r\nHost : x\r\n\r\n", "400"},
      {"bad length", "POST / HTTP/1.1\r\nContent-Length: ten\r\n\r\n", "400"},
      {"negative length", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "400"},
      {"two lengths", "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400"},
      {"length and chunks",
       "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       "400"},
      {"bad chunk", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400"},
      {"huge chunk", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\nab", "413"},
      {"endless chunk line",
       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;" + std::string(20000, 'x'), "400"},
      {"body over the limit", "POST / HTTP/1.1\r\nContent-Length: 10001\r\n\r\n", "413"},
      {"10 MB field", "GET / HTTP/1.1\r\n" + big_field + "\r\n\r\n", "431"},
      {"10 MB target", "GET /" + std::string(10UL * 1024 * 1024, 'a'), "431"},
      {"slow header", "GET / HTTP/1.1\r\nHost:", "408"},
      {"slow body", "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc", "408"},
      {"slow chunk", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", "408"},
      {"nothing", "", ""},
  };
  for (const MalformedRequest& malformed : cases) {
    SCOPED_TRACE(malformed.name);
    const std::string response = Exchange(malformed.bytes);
    if (malformed.status.empty()) {
      EXPECT_EQ(response, "");
      continue;
    }
    EXPECT_THAT(response, StartsWith("HTTP/1.1 " + malformed.status));
    const size_t body = response.find("\r\n\r\n");
    ASSERT_NE(body, std::string::npos);
    boost::system::error_code error;
    const auto json = boost::json::parse(response.substr(body + 4), error);
    ASSERT_FALSE(error) << response;
    EXPECT_TRUE(json.at("error").as_object().contains("executed"));
  }
  EXPECT_EQ(handled_, 0);
  ExpectStillServing();
  EXPECT_TRUE(runtime_->RunUntil([this] { return server_->open_connections() == 0; },
                                 std::chrono::seconds(5)));
}

TEST_F(HttpServerTest, SurvivesRandomInput) {
  Listen();
  const std::string valid_requests =
      "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
      "POST /b HTTP/1.1\r\nContent-Length: 4\r\nIdempotency-Key: k\r\n\r\nbody";
  for (uint64_t seed = 1; seed <= 300; ++seed) {
    std::mt19937_64 random(seed);
    std::string bytes = valid_requests;
    for (uint64_t change = random() % 4 + 1; change > 0; --change) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    bytes.resize(random() % bytes.size() + 1);
    RawSocket socket = Connect();
    socket.Send(runtime_.get(), bytes);
    if (random() % 2 == 0) socket.ShutdownSend();
    socket.ReadUntil(runtime_.get(), "HTTP/1.1", std::chrono::milliseconds(2));
  }
  ExpectStillServing();
  EXPECT_TRUE(runtime_->RunUntil([this] { return server_->open_connections() == 0; },
                                 std::chrono::seconds(5)));
}

// An unparsed head may have an idempotency key of an earlier attempt that was executed.
TEST_F(HttpServerTest, RejectionIsNotExecutedOnlyWithoutIdempotencyKey) {
  Listen();
  EXPECT_THAT(Exchange("POST / HTTP/1.1\r\nContent-Length: 99999\r\n\r\n"),
              HasSubstr(R"("executed":"no")"));
  EXPECT_THAT(Exchange("POST / HTTP/1.1\r\nIdempotency-Key: k\r\nContent-Length: 99999\r\n\r\n"),
              HasSubstr(R"("executed":"unknown")"));
  EXPECT_THAT(Exchange("POST / HTTP/1.1\r\nIdempotency-K"), HasSubstr(R"("executed":"unknown")"));
}

TEST_F(HttpServerTest, HalfClosedCallerGetsResponse) {
  Listen();
  RawSocket socket = Connect();
  socket.Send(runtime_.get(), "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc");
  socket.ShutdownSend();
  EXPECT_THAT(socket.ReadToEnd(runtime_.get()), HasSubstr("echo:abc"));
  EXPECT_TRUE(socket.ended());
}

TEST_F(HttpServerTest, HalfClosedCallerGetsDelayedResponse) {
  std::shared_ptr<http::ResponseWriter> saved_writer;
  handler_ = [&saved_writer](const http::Request&, std::shared_ptr<http::ResponseWriter> writer) {
    saved_writer = std::move(writer);
  };
  Listen();
  RawSocket socket = Connect();
  socket.Send(runtime_.get(), kValidRequest);
  socket.ShutdownSend();
  RunFor(runtime_.get(), std::chrono::milliseconds(50));
  ASSERT_NE(saved_writer, nullptr);
  saved_writer->SendResponse({.status = 200, .headers = {}, .body = "late"});
  EXPECT_THAT(socket.ReadToEnd(runtime_.get()), HasSubstr("late"));
}

TEST_F(HttpServerTest, ServesPipelinedRequestsInOrder) {
  std::vector<uint64_t> connections;
  handler_ = [&connections](const http::Request& request,
                            const std::shared_ptr<http::ResponseWriter>& writer) {
    connections.push_back(request.connection_id);
    writer->SendResponse({.status = 200, .headers = {}, .body = "echo:" + request.body + ";"});
  };
  Listen();
  RawSocket socket = Connect();
  std::string bytes;
  for (int k = 0; k < 20; ++k) {
    bytes += "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\n" + std::to_string(10 + k);
  }
  socket.Send(runtime_.get(), bytes);
  const std::string& responses = socket.ReadUntil(runtime_.get(), "echo:29;");
  size_t position = 0;
  for (int k = 0; k < 20; ++k) {
    position = responses.find("echo:" + std::to_string(10 + k) + ";", position);
    ASSERT_NE(position, std::string::npos) << k;
  }
  ASSERT_EQ(connections.size(), 20u);
  EXPECT_EQ(connections.front(), connections.back());
}

TEST_F(HttpServerTest, BoundsWhenRequestWasSent) {
  std::vector<runtime::MonotonicTime> sent_after;
  handler_ = [&sent_after](const http::Request& request,
                           const std::shared_ptr<http::ResponseWriter>& writer) {
    sent_after.push_back(request.sent_after);
    writer->SendResponse({.status = 200, .headers = {}, .body = "echo:" + request.body + ";"});
  };
  Listen();
  const auto now = [this] { return runtime_->runtime()->clock->Now(); };
  const auto exchange = [this](RawSocket* socket, const std::string& bytes, const char* end) {
    socket->Send(runtime_.get(), bytes);
    socket->ReadUntil(runtime_.get(), end);
  };
  const runtime::MonotonicTime connecting = now();
  RawSocket socket = Connect();
  runtime_->RunUntil([] { return false; }, std::chrono::milliseconds(50));
  const runtime::MonotonicTime connected = now();
  // Two pipelined requests: the second was sent before the end of the first response.
  exchange(&socket,
           "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n1"
           "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n2",
           "echo:2;");
  const runtime::MonotonicTime responded = now();
  runtime_->RunUntil([] { return false; }, std::chrono::milliseconds(50));
  exchange(&socket, "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n3", "echo:3;");
  ASSERT_EQ(sent_after.size(), 3u);
  EXPECT_GE(sent_after[0], connecting);
  EXPECT_LE(sent_after[0], connected);
  EXPECT_EQ(sent_after[1], sent_after[0]);
  EXPECT_GT(sent_after[2], connected);
  EXPECT_LE(sent_after[2], responded);
}

TEST_F(HttpServerTest, AbortLeavesChunkedBodyUnterminated) {
  handler_ = [](const http::Request&, const std::shared_ptr<http::ResponseWriter>& writer) {
    writer->StartStream({});
    writer->WriteChunk("piece");
    writer->Abort();
  };
  Listen();
  RawSocket socket = Connect();
  socket.Send(runtime_.get(), kValidRequest);
  const std::string& response = socket.ReadToEnd(runtime_.get());
  EXPECT_TRUE(socket.ended());
  EXPECT_THAT(response, HasSubstr("5\r\npiece\r\n"));
  EXPECT_THAT(response, Not(HasSubstr("\r\n0\r\n")));
}

TEST_F(HttpServerTest, DroppedWriterClosesConnection) {
  handler_ = [](const http::Request&, const std::shared_ptr<http::ResponseWriter>&) {};
  Listen();
  EXPECT_EQ(Exchange(kValidRequest), "");
  EXPECT_EQ(handled_, 1);
}

TEST_F(HttpServerTest, ChunksOfOneTurnArriveComplete) {
  handler_ = [](const http::Request&, const std::shared_ptr<http::ResponseWriter>& writer) {
    writer->StartStream({});
    for (int k = 0; k < 3; ++k) writer->WriteChunk("p" + std::to_string(k));
    writer->WriteChunk("");  // must not end the body
    writer->WriteChunk("p3");
    writer->FinishStream();
  };
  Listen();
  RawSocket socket = Connect();
  socket.Send(runtime_.get(), kValidRequest);
  EXPECT_THAT(socket.ReadUntil(runtime_.get(), "\r\n0\r\n\r\n"),
              HasSubstr("2\r\np0\r\n2\r\np1\r\n2\r\np2\r\n2\r\np3\r\n0\r\n\r\n"));
}

TEST_F(HttpServerTest, SlowReaderAppliesBackpressure) {
  constexpr size_t kPiece = 64UL * 1024;
  limits_.max_buffered_bytes = 4 * kPiece;
  limits_.body_timeout = std::chrono::seconds(10);
  std::shared_ptr<http::ResponseWriter> writer;
  handler_ = [&writer](const http::Request&, std::shared_ptr<http::ResponseWriter> new_writer) {
    writer = std::move(new_writer);
    writer->StartStream({});
  };
  Listen();
  RawSocket socket = Connect();
  socket.Send(runtime_.get(), kValidRequest);
  ASSERT_TRUE(runtime_->RunUntil([&] { return writer != nullptr; }, std::chrono::seconds(5)));
  size_t written = 0;
  const auto fill = [&] {
    while (writer->buffered_bytes() < limits_.max_buffered_bytes) {
      writer->WriteChunk(std::string(kPiece, 'x'));
      written += kPiece;
      RunFor(runtime_.get(), std::chrono::milliseconds(2));
    }
  };
  fill();  // the socket buffer of the kernel, then the buffer of the response
  bool writable = false;
  writer->OnWritable([&writable] { writable = true; });
  RunFor(runtime_.get(), std::chrono::milliseconds(50));
  EXPECT_FALSE(writable);
  socket.ReadUntil(runtime_.get(), "never", std::chrono::milliseconds(300));
  EXPECT_TRUE(writable);
  EXPECT_LT(writer->buffered_bytes(), limits_.max_buffered_bytes / 2);
  writer->FinishStream();
  EXPECT_GT(socket.ReadUntil(runtime_.get(), "\r\n0\r\n\r\n").size(), written);
}

TEST_F(HttpServerTest, StalledCallerIsDisconnected) {
  bool disconnected = false;
  handler_ = [&disconnected](const http::Request&,
                             const std::shared_ptr<http::ResponseWriter>& writer) {
    writer->OnCallerDisconnected([&disconnected, writer] { disconnected = true; });
    writer->StartStream({});
    writer->WriteChunk(std::string(32UL * 1024 * 1024, 'x'));
  };
  Listen();
  RawSocket socket = Connect();
  socket.Send(runtime_.get(), kValidRequest);
  EXPECT_TRUE(runtime_->RunUntil([&] { return disconnected; }, std::chrono::seconds(5)));
  EXPECT_EQ(server_->open_connections(), 0u);
}

TEST_F(HttpServerTest, DisconnectWhileStreamingIsReported) {
  bool disconnected = false;
  std::weak_ptr<http::ResponseWriter> writer_observer;
  handler_ = [&](const http::Request&, const std::shared_ptr<http::ResponseWriter>& writer) {
    writer_observer = writer;
    writer->StartStream({});
    writer->OnCallerDisconnected([&disconnected, writer] { disconnected = true; });
  };
  Listen();
  {
    RawSocket socket = Connect();
    socket.Send(runtime_.get(), kValidRequest);
    socket.ReadUntil(runtime_.get(), "chunked");
    EXPECT_FALSE(disconnected);
  }
  EXPECT_TRUE(runtime_->RunUntil([&] { return disconnected; }, std::chrono::seconds(5)));
  EXPECT_TRUE(writer_observer.expired());
  EXPECT_EQ(server_->open_connections(), 0u);
}

// A handler may ask late whether the caller is still there.
TEST_F(HttpServerTest, EarlierDisconnectIsReported) {
  std::shared_ptr<http::ResponseWriter> writer;
  handler_ = [&writer](const http::Request&, const std::shared_ptr<http::ResponseWriter>& given) {
    writer = given;
  };
  Listen();
  for (const bool reset : {false, true}) {
    RawSocket socket = Connect();
    socket.Send(runtime_.get(), kValidRequest);
    ASSERT_TRUE(runtime_->RunUntil([&] { return writer != nullptr; }, std::chrono::seconds(5)));
    reset ? socket.Reset() : socket.Close();
    RunFor(runtime_.get(), std::chrono::milliseconds(50));
    bool disconnected = false;
    writer->OnCallerDisconnected([&disconnected] { disconnected = true; });
    EXPECT_FALSE(disconnected);
    RunFor(runtime_.get(), std::chrono::milliseconds(50));
    EXPECT_TRUE(disconnected) << (reset ? "reset" : "closed");
    writer = nullptr;
  }
}

TEST_F(HttpServerTest, DisconnectCallbackIsReleasedAfterResponse) {
  std::weak_ptr<http::ResponseWriter> writer_observer;
  handler_ = [&](const http::Request&, const std::shared_ptr<http::ResponseWriter>& writer) {
    writer_observer = writer;
    writer->OnCallerDisconnected([writer] {});
    writer->SendResponse({});
  };
  Listen();
  RawSocket socket = Connect();
  socket.Send(runtime_.get(), kValidRequest);
  socket.ReadUntil(runtime_.get(), "\r\n\r\n");
  EXPECT_TRUE(writer_observer.expired());
}

TEST_F(HttpServerTest, ClosesConnectionsOverLimit) {
  limits_.max_connections = 2;
  limits_.header_timeout = std::chrono::seconds(10);
  Listen();
  const RawSocket first = Connect();
  const RawSocket second = Connect();
  RawSocket third = Connect();
  EXPECT_EQ(third.ReadToEnd(runtime_.get()), "");
  EXPECT_TRUE(third.ended());
  EXPECT_EQ(server_->open_connections(), 2u);
}

TEST_F(HttpServerTest, RejectsResponseSplittingField) {
  handler_ = [](const http::Request&, const std::shared_ptr<http::ResponseWriter>& writer) {
    http::Response response;
    response.headers.Add("X-Note", "a\r\nX-Injected: b");
    writer->SendResponse(std::move(response));
  };
  Listen();
  const std::string response = Exchange(kValidRequest);
  EXPECT_THAT(response, StartsWith("HTTP/1.1 500"));
  EXPECT_THAT(response, Not(HasSubstr("X-Injected")));
}

TEST_F(HttpServerTest, DrainCompletesResponsesAndClosesIdleConnections) {
  std::shared_ptr<http::ResponseWriter> running;
  handler_ = [&](const http::Request& request, std::shared_ptr<http::ResponseWriter> writer) {
    if (request.target == "/wait") {
      running = std::move(writer);
    } else {
      writer->SendResponse({.status = 200, .headers = {}, .body = "echo:"});
    }
  };
  limits_.idle_timeout = std::chrono::seconds(30);
  Listen();
  RawSocket idle = Connect();
  idle.Send(runtime_.get(), kValidRequest);
  idle.ReadUntil(runtime_.get(), "echo:");
  RawSocket busy = Connect();
  busy.Send(runtime_.get(), "GET /wait HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(runtime_->RunUntil([&] { return running != nullptr; }, std::chrono::seconds(5)));
  server_->Drain();
  idle.ReadToEnd(runtime_.get());
  EXPECT_TRUE(idle.ended());
  running->SendResponse({.status = 200, .headers = {}, .body = "last"});
  EXPECT_THAT(busy.ReadToEnd(runtime_.get()), HasSubstr("Connection: close"));
  EXPECT_THAT(busy.ReadToEnd(runtime_.get()), HasSubstr("last"));
  busy.Close();
  EXPECT_TRUE(runtime_->RunUntil([this] { return server_->open_connections() == 0; },
                                 std::chrono::seconds(5)));
}

TEST_F(HttpServerTest, SendsContinueBeforeBody) {
  Listen();
  RawSocket socket = Connect();
  socket.Send(runtime_.get(),
              "POST / HTTP/1.1\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n");
  EXPECT_THAT(socket.ReadUntil(runtime_.get(), "\r\n\r\n"), StartsWith("HTTP/1.1 100"));
  socket.Send(runtime_.get(), "abc");
  EXPECT_THAT(socket.ReadUntil(runtime_.get(), "echo:abc"), HasSubstr("HTTP/1.1 200"));
}

}  // namespace
}  // namespace posthatch::net
