// Emulators and callers over real sockets: the same classes as in the simulator.
#include <gtest/gtest.h>

#include <memory>
#include <vector>

#include "posthatch/emulator/caller_load.h"
#include "posthatch/emulator/worker_emulator.h"
#include "posthatch/fleettest/history/recorders.h"
#include "posthatch/net/asio_runtime.h"

namespace posthatch::emulator {
namespace {

class RealSocketsTest : public ::testing::Test {
 protected:
  RealSocketsTest() {
    asio_runtime = *net::AsioRuntime::Create({});
    recorder = std::make_unique<fleettest::MemoryHistoryRecorder>(asio_runtime->runtime()->clock,
                                                                  "test", &events);
    WorkerSettings settings;
    settings.id = "worker";
    settings.max_running = 64;
    settings.timing.prefill_per_block = std::chrono::microseconds(100);
    settings.timing.decode_per_token = std::chrono::milliseconds(2);
    worker = std::make_unique<WorkerEmulator>(asio_runtime->runtime(), settings, recorder.get());
    EXPECT_TRUE(worker->Start().ok());
    options.mix = NilestoneMix();
    std::erase_if(options.mix.operations, [](const OperationTraffic& operation) {
      return operation.kind == OperationKind::kService;
    });
    options.gateways = {worker->endpoint()};
  }

  // Runs a load for a second, waits until its calls have ended and returns their CallEnded.
  std::vector<fleettest::CallEnded> RunLoad() {
    CallerLoad load(asio_runtime->runtime(), options, recorder.get());
    load.Start();
    asio_runtime->RunUntil([] { return false; }, std::chrono::seconds(1));
    bool stopped = false;
    load.Stop([&stopped] { stopped = true; });
    EXPECT_TRUE(asio_runtime->RunUntil([&stopped] { return stopped; }, std::chrono::seconds(30)));
    std::vector<fleettest::CallEnded> ends;
    for (const fleettest::HistoryEvent& event : events) {
      if (event.has_call_ended()) ends.push_back(event.call_ended());
    }
    return ends;
  }

  std::unique_ptr<net::AsioRuntime> asio_runtime;
  std::vector<fleettest::HistoryEvent> events;
  std::unique_ptr<fleettest::MemoryHistoryRecorder> recorder;
  std::unique_ptr<WorkerEmulator> worker;
  CallerLoadOptions options;
};

TEST_F(RealSocketsTest, SlowReadersGetCompleteResponses) {
  options.mix.disconnecting_share = 0;
  options.mix.slow_reader_share = 0.2;
  const auto ends = RunLoad();
  EXPECT_GT(ends.size(), 10u);
  for (const fleettest::CallEnded& ended : ends) {
    EXPECT_TRUE(ended.complete() && ended.body_intact()) << ended.status() << ended.fault();
  }
}

TEST_F(RealSocketsTest, DisconnectCancelsRun) {
  options.mix.disconnecting_share = 1;
  WorkerBehaviour slow;
  slow.slow_factor = 20;
  worker->SetBehaviour(slow);
  const auto ends = RunLoad();
  asio_runtime->RunUntil([] { return false; }, std::chrono::milliseconds(300));
  size_t cancelled = 0;
  size_t started = 0;
  for (const fleettest::HistoryEvent& event : events) {
    started += event.has_run_started() ? 1 : 0;
    cancelled += event.run_ended().reason() == "caller_gone" ? 1 : 0;
  }
  EXPECT_GT(ends.size(), 10u);
  EXPECT_GT(cancelled, 0u);
  EXPECT_GE(cancelled, started * 9 / 10);
}

TEST_F(RealSocketsTest, TruncatedResponsesAreDetected) {
  options.mix.disconnecting_share = 0;
  WorkerBehaviour truncating;
  truncating.cut_share = 1;
  truncating.cut_at_piece = 2;
  worker->SetBehaviour(truncating);
  const auto ends = RunLoad();
  EXPECT_GT(ends.size(), 10u);
  for (const fleettest::CallEnded& ended : ends) {
    EXPECT_FALSE(ended.complete());
    EXPECT_EQ(ended.status(), 200u);
    EXPECT_FALSE(ended.body_intact());
  }
}

}  // namespace
}  // namespace posthatch::emulator
