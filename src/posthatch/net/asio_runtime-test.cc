#include "posthatch/net/asio_runtime.h"

#include <unistd.h>

#include <boost/json.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

#include "gtest/gtest.h"
#include "posthatch/net/lazy_deadline.h"
#include "posthatch/net/raw_socket-test.h"

namespace posthatch::net {
namespace {

using std::chrono::milliseconds;

TEST(AsioTimerServiceTest, FiresInOrderAndNotEarly) {
  const auto asio_runtime = MakeTestRuntime();
  runtime::Runtime* const runtime = asio_runtime->runtime();
  const auto start = runtime->clock->Now();
  std::vector<int> fired;
  for (const int delay : {30, 10, 20}) {
    runtime->timers->Schedule(milliseconds(delay), [&, delay] {
      EXPECT_GE(runtime->clock->Now() - start, milliseconds(delay));
      fired.push_back(delay);
    });
  }
  const auto cancelled = runtime->timers->Schedule(milliseconds(15), [&] { fired.push_back(-1); });
  runtime->timers->Cancel(cancelled);
  runtime->timers->Cancel(cancelled);
  asio_runtime->RunUntil([&] { return fired.size() == 3; }, std::chrono::seconds(5));
  EXPECT_EQ(fired, (std::vector<int>{10, 20, 30}));
}

TEST(AsioTimerServiceTest, TimerCancelledInSameTurnDoesNotFire) {
  const auto asio_runtime = MakeTestRuntime();
  runtime::TimerService* const timers = asio_runtime->runtime()->timers;
  int fired = 0;
  runtime::TimerId second = 0;
  timers->Schedule({}, [&] {
    ++fired;
    timers->Cancel(second);
  });
  second = timers->Schedule({}, [&] { ++fired; });
  std::this_thread::sleep_for(milliseconds(5));  // both are due
  RunFor(asio_runtime.get(), milliseconds(20));
  EXPECT_EQ(fired, 1);
}

TEST(LazyDeadlineTest, FiresByLatestSetting) {
  boost::asio::io_context io_context;
  int expired = 0;
  LazyDeadline deadline(&io_context, [&expired] { ++expired; });
  const auto start = BootNow();
  deadline.Set(start + milliseconds(20));
  deadline.Set(start + milliseconds(80));  // later: seen only when the timer fires
  io_context.run_for(milliseconds(50));
  EXPECT_EQ(expired, 0);
  deadline.Set(BootNow() + milliseconds(5));  // earlier: the timer is armed again
  io_context.run_for(milliseconds(20));
  EXPECT_EQ(expired, 1);
  deadline.Set(BootNow() + milliseconds(5));
  deadline.Clear();
  io_context.run_for(milliseconds(100));
  EXPECT_EQ(expired, 1);
}

TEST(JsonTraceSinkTest, WritesJsonLinesFromLevelOn) {
  const std::string path =
      ::testing::TempDir() + "json_trace_sink_" + std::to_string(getpid()) + ".log";
  std::filesystem::remove(path);
  {
    auto sink = JsonTraceSink::Open(path, "node-1", runtime::Severity::kInfo).value();
    sink->Event(runtime::Severity::kDebug, "BelowLevel", {});
    sink->Event(runtime::Severity::kInfo, "Started", {{"text", "a \"b\"\n"}, {"number", 7}});
    sink->SetLevel(runtime::Severity::kDebug);
    sink->Event(runtime::Severity::kDebug, "AtLevel", {{"flag", true}});
  }
  std::ifstream file(path);
  std::vector<boost::json::value> lines;
  for (std::string line; std::getline(file, line);) lines.push_back(boost::json::parse(line));
  ASSERT_EQ(lines.size(), 2u);
  EXPECT_EQ(lines[0].at("type"), "Started");
  EXPECT_EQ(lines[0].at("severity"), "info");
  EXPECT_EQ(lines[0].at("node"), "node-1");
  EXPECT_EQ(lines[0].at("text"), "a \"b\"\n");
  EXPECT_EQ(lines[0].at("number"), "7");
  EXPECT_EQ(lines[1].at("type"), "AtLevel");
  std::filesystem::remove(path);
  EXPECT_FALSE(JsonTraceSink::Open("/proc/no such file", "n", runtime::Severity::kInfo).ok());
}

TEST(AsioRuntimeTest, AddressInUseIsFailedPrecondition) {
  AsioRuntimeOptions options;
  options.internal_endpoint = "127.0.0.1:0";
  const auto first = MakeTestRuntime(options);
  options.node_id = "second";
  options.internal_endpoint = first->runtime()->transport->endpoint();
  EXPECT_EQ(AsioRuntime::Create(options).status().code(), absl::StatusCode::kFailedPrecondition);
  const auto server = first->runtime()->http_servers->Listen("127.0.0.1:0", {}, {});
  EXPECT_EQ(first->runtime()->http_servers->Listen((*server)->endpoint(), {}, {}).status().code(),
            absl::StatusCode::kFailedPrecondition);
}

TEST(AsioRuntimeTest, EachTerminationSignalIsReported) {
  const auto asio_runtime = MakeTestRuntime();
  int signals = 0;
  asio_runtime->OnTerminationSignal([&signals] { ++signals; });
  for (int expected = 1; expected <= 2; ++expected) {
    raise(SIGTERM);
    EXPECT_TRUE(
        asio_runtime->RunUntil([&] { return signals == expected; }, std::chrono::seconds(5)));
  }
}

// Guards against pending calls, responses and messages that use parts of the runtime after their
// destruction.
TEST(AsioRuntimeTest, DestroysCleanlyWithPendingWork) {
  AsioRuntimeOptions options;
  options.internal_endpoint = "127.0.0.1:0";
  options.enable_fault_injection = true;
  auto asio_runtime = MakeTestRuntime(options);
  std::vector<std::shared_ptr<http::ResponseWriter>> writers;
  auto server =
      asio_runtime->runtime()
          ->http_servers
          ->Listen("127.0.0.1:0", {},
                   [&](const http::Request&, std::shared_ptr<http::ResponseWriter> writer) {
                     writer->StartStream({});
                     writers.push_back(std::move(writer));
                   })
          .value();
  std::vector<std::unique_ptr<http::Call>> calls;
  for (int k = 0; k < 10; ++k) {
    http::CallObserver observer;
    observer.on_head = [](const http::Response&) {};
    observer.on_error = [](const http::CallError&) { ADD_FAILURE() << "called after the end"; };
    calls.push_back(asio_runtime->runtime()->http_client->Start(
        server->endpoint(), {.method = "GET", .target = "/", .headers = {}, .body = {}}, {},
        observer));
  }
  asio_runtime->RunUntil([&] { return writers.size() == 5; }, std::chrono::seconds(5));
  FaultRules partition;
  partition.drop_to.insert(server->endpoint());
  asio_runtime->faults()->SetRules(partition);
  asio_runtime->runtime()->transport->Send(server->endpoint(), runtime::SERVICE_CONTROL, "x",
                                           runtime::Delivery::kStream);
  calls.clear();
  server.reset();
  writers.clear();
  asio_runtime.reset();
}

}  // namespace
}  // namespace posthatch::net
