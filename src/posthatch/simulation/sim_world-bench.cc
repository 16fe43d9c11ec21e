#include <benchmark/benchmark.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "posthatch/simulation/sim_world.h"

namespace posthatch::simulation {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr runtime::Service kService = runtime::SERVICE_CONTROL;
constexpr int kChunksPerResponse = 20;

// Sends 20 stream messages, 20 datagrams and 5 streamed HTTP calls per second to random peers.
class BusyProcess {
 public:
  BusyProcess(SimWorld* world, SimHost* host, runtime::Runtime* runtime)
      : world_(world),
        runtime_(runtime),
        message_timer_(runtime->timers),
        call_timer_(runtime->timers) {
    runtime_->transport->SetReceiver(kService, [](const runtime::Envelope&) {});
    server_ = *runtime_->http_servers->Listen(
        host->http_endpoint(), {},
        [](const http::Request&, const std::shared_ptr<http::ResponseWriter>& writer) {
          writer->StartStream({});
          for (int i = 0; i < kChunksPerResponse; ++i) writer->WriteChunk("0123456789abcdef");
          writer->FinishStream();
        });
    SendMessages();
    StartCall();
  }

 private:
  SimHost* RandomPeer() {
    return world_->hosts()[runtime_->random->Uniform(world_->hosts().size())];
  }
  void SendMessages() {
    const std::string payload(200, 'x');
    runtime_->transport->Send(RandomPeer()->internal_endpoint(), kService, payload,
                              runtime::Delivery::kStream);
    runtime_->transport->Send(RandomPeer()->internal_endpoint(), kService, payload,
                              runtime::Delivery::kDatagram);
    message_timer_.Start(milliseconds(50), [this] { SendMessages(); });
  }
  void StartCall() {
    http::Request request;
    request.method = "POST";
    request.target = "/v1/completions";
    request.body.assign(1000, 'x');
    call_ = runtime_->http_client->Start(RandomPeer()->http_endpoint(), std::move(request), {}, {});
    call_timer_.Start(milliseconds(200), [this] { StartCall(); });
  }

  SimWorld* const world_;
  runtime::Runtime* const runtime_;
  std::unique_ptr<http::HttpServer> server_;
  std::unique_ptr<http::Call> call_;
  runtime::Timer message_timer_;
  runtime::Timer call_timer_;
};

// One iteration simulates one second of state.range(0) busy processes: 40 messages, 5 calls each.
void BusyFleet(benchmark::State& state) {
  SimWorld world(1);
  for (int64_t i = 0; i < state.range(0); ++i) {
    SimHost* host = world.AddHost("h" + std::to_string(i), "zone", "10.0.0." + std::to_string(i));
    host->SetBoot([&world, host](runtime::Runtime* runtime) {
      return std::make_shared<BusyProcess>(&world, host, runtime);
    });
    host->Start();
  }
  world.RunFor(seconds(5));
  for (auto _ : state) world.RunFor(seconds(1));
  state.counters["virtual_seconds_per_second"] =
      benchmark::Counter(1, benchmark::Counter::kIsIterationInvariantRate);
}
BENCHMARK(BusyFleet)->Arg(10)->Arg(100)->Arg(400)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace posthatch::simulation
