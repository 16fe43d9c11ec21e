#include <benchmark/benchmark.h>

#include "posthatch/gateway/gateway_fakes-test.h"
#include "posthatch/gateway/sse_stream_checker.h"
#include "posthatch/gateway/stream_relay.h"

// CPU time of the request path without the network: routing, relaying, complete requests.
namespace posthatch::gateway {
namespace {

constexpr size_t kChainLength = 64;

// Routing over the given number of workers, two of which hold a prefix of the prompt.
void BenchmarkRoute(benchmark::State& state) {
  FakeFleet fleet;
  for (int64_t number = 5; number <= state.range(0); ++number) {
    fleet.AddBackend(absl::StrCat("w", number), control::BACKEND_KIND_WORKER,
                     number % 4 == 0 ? "a" : "b");
  }
  GatewayMetrics metrics(&fleet.registry);
  FleetLookup lookup;
  lookup.Rebuild(fleet.view.fleet);
  BackendDirectory directory(&fleet.runtime, &fleet.options, &lookup, &metrics);
  directory.Update(fleet.view.fleet, nullptr);
  LinkSpeedEstimator links(&fleet.clock);
  WorkerRouter router(&fleet.runtime, &fleet.options, &directory, &fleet.locator, &links, &metrics);
  fleet.clock.now += std::chrono::minutes(1);
  fleet.locator.holders = {{"w1", 1, 32}, {"w2", 1, 16}};
  const std::string model = "m";
  index::BlockSeed seed;
  seed.model = model;
  const std::vector<index::BlockHash> chain(kChainLength, 1);
  const std::vector<std::string> attempted_backends;
  RouteQuery query{&model, &seed, &chain, 0, &attempted_backends};
  for (auto _ : state) benchmark::DoNotOptimize(router.RouteInference(query));
}
BENCHMARK(BenchmarkRoute)->Arg(18)->Arg(100)->Arg(1000)->Arg(10000);

// Validating and forwarding one streamed event; items are events.
void BenchmarkRelayEvent(benchmark::State& state) {
  FakeCall call;
  call.request.headers.Add("X-Request-Id", "id-1");
  std::vector<std::string> events;
  events.reserve(1000);
  for (int piece = 0; piece < 1000; ++piece) events.push_back(call.Event(piece));
  for (auto _ : state) {
    auto writer = std::make_shared<FakeWriter>();
    StreamRelay relay(writer, "id-1", size_t{1} << 30);
    for (const std::string& event : events) benchmark::DoNotOptimize(relay.Feed(event));
  }
  state.SetItemsProcessed(state.iterations() * static_cast<int64_t>(events.size()));
}
BENCHMARK(BenchmarkRelayEvent);

// A completion from the caller's request to its response, with fake connections on both sides.
void BenchmarkCompleteRequest(benchmark::State& state) {
  FakeFleet fleet;
  fleet.view.fleet.mutable_configuration()->mutable_routing()->set_max_requests_per_worker(1000);
  fleet.StartGateway();
  for (auto _ : state) {
    fleet.Complete();
    fleet.LastCall().GoodCompletion();
    fleet.client.calls.clear();
    fleet.locator.recorded.clear();
    fleet.timers.Advance(std::chrono::microseconds(50));
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(BenchmarkCompleteRequest);

// Applying a changed inventory, with one evacuation.
void BenchmarkUpdateDirectory(benchmark::State& state) {
  FakeFleet fleet;
  for (int64_t number = 5; number <= state.range(0); ++number) {
    fleet.AddBackend(absl::StrCat("w", number), control::BACKEND_KIND_WORKER, "b");
  }
  control::Requirement* zone =
      fleet.view.fleet.add_evacuations()->mutable_selector()->add_requirements();
  zone->set_key("zone");
  zone->set_operator_(control::Requirement::IN);
  zone->add_values("a");
  GatewayMetrics metrics(&fleet.registry);
  FleetLookup lookup;
  BackendDirectory directory(&fleet.runtime, &fleet.options, &lookup, &metrics);
  for (auto _ : state) directory.Update(fleet.view.fleet, nullptr);
}
BENCHMARK(BenchmarkUpdateDirectory)->Arg(18)->Arg(1000)->Arg(10000);

}  // namespace
}  // namespace posthatch::gateway
