// Costs that bound the load one process can generate or serve.
#include <benchmark/benchmark.h>

#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "posthatch/emulator/block_cache.h"
#include "posthatch/emulator/caller_load.h"
#include "posthatch/emulator/prompt_pool.h"
#include "posthatch/emulator/response_mixer.h"
#include "posthatch/emulator/response_reader.h"
#include "posthatch/emulator/worker_emulator.h"
#include "posthatch/fleettest/history/recorders.h"
#include "posthatch/index/block_hash.h"
#include "posthatch/simulation/sim_world.h"

namespace posthatch::emulator {
namespace {

// Look-up of a cached chain, by number of blocks.
void BenchmarkCacheLookup(benchmark::State& state) {
  const auto blocks = static_cast<size_t>(state.range(0));
  const auto chain = index::HashBlocks("salt", FillerText("prompt", blocks * 64), 64);
  BlockCache cache(100000);
  for (const index::BlockHash block : chain) cache.Insert(block, {"tenant", 1});
  for (auto _ : state) benchmark::DoNotOptimize(cache.Lookup(chain));
  state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(BenchmarkCacheLookup)->Arg(16)->Arg(64)->Arg(256)->Arg(1024);

// Strict reading of a stream, by number of chunks.
void BenchmarkStreamReader(benchmark::State& state) {
  const auto chunks = static_cast<uint32_t>(state.range(0));
  std::string stream;
  for (uint32_t chunk = 0; chunk < chunks; ++chunk) {
    stream += R"(data: {"id":"r","request_id":"n","piece":)" + std::to_string(chunk) +
              R"(,"choices":[{"index":0,"text":")" + ChunkText("r", chunk) + "\"}]}\n\n";
  }
  for (auto _ : state) {
    StreamReader reader("n", chunks);
    benchmark::DoNotOptimize(reader.Feed(stream));
  }
  state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(BenchmarkStreamReader)->Arg(4)->Arg(16)->Arg(64)->Arg(256);

void BenchmarkRecordEvent(benchmark::State& state) {
  simulation::SimWorld world(1);
  simulation::SimHost* const host = world.AddHost("h", "z", "10.0.0.1");
  host->SetBoot([](runtime::Runtime*) { return std::make_shared<int>(0); });
  host->Start();
  auto recorder = fleettest::JsonlHistoryRecorder::Open(host->runtime()->clock, "h", "/dev/null");
  fleettest::HistoryEvent event;
  event.mutable_run_started()->set_run("worker-1-1236037217-1");
  event.mutable_run_started()->set_tenant("nilestone-1");
  event.mutable_run_started()->set_nonce("callers-1-1");
  for (auto _ : state) (*recorder)->Record(event);
}
BENCHMARK(BenchmarkRecordEvent);

// Simulates a second of a preset's model traffic, including callers and workers.
void BenchmarkSimulatedSecond(benchmark::State& state) {
  simulation::SimWorld world(1);
  std::vector<fleettest::HistoryEvent> events;
  std::vector<std::unique_ptr<fleettest::MemoryHistoryRecorder>> recorders;
  std::vector<std::string> endpoints;
  const auto workers = static_cast<int>(state.range(0));
  for (int i = 0; i <= workers; ++i) {
    simulation::SimHost* const host =
        world.AddHost("h" + std::to_string(i), "z", "10.0.1." + std::to_string(i + 1));
    if (i > 0) endpoints.push_back(host->http_endpoint());
    host->SetBoot([&, i, host](runtime::Runtime* runtime) -> std::shared_ptr<void> {
      recorders.push_back(std::make_unique<fleettest::MemoryHistoryRecorder>(
          runtime->clock, host->name(), &events));
      if (i == 0) return std::make_shared<int>(0);
      WorkerSettings settings;
      settings.id = host->name();
      settings.listen = host->http_endpoint();
      auto worker = std::make_shared<WorkerEmulator>(runtime, settings, recorders.back().get());
      if (!worker->Start().ok()) std::abort();
      return worker;
    });
    host->Start();
  }
  CallerLoadOptions options;
  options.mix = NilestoneMix();
  options.mix.requests_per_second = 10.0 * workers;
  std::erase_if(options.mix.operations, [](const OperationTraffic& operation) {
    return operation.kind == OperationKind::kService;
  });
  options.gateways = endpoints;
  CallerLoad load(world.FindHost("h0")->runtime(), options, recorders[0].get());
  load.Start();
  for (auto _ : state) {
    world.RunFor(std::chrono::seconds(1));
    events.clear();
  }
  state.SetItemsProcessed(static_cast<int64_t>(load.counts().completed));
}
BENCHMARK(BenchmarkSimulatedSecond)
    ->Arg(1)
    ->Arg(3)
    ->Arg(9)
    ->Arg(18)
    ->Iterations(20)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace posthatch::emulator
