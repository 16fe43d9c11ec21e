// Benchmarks of the prefix cache index: look-ups, memory, insertion. The figures and the command
// that gave them are in docs/design-docs/index.md.
#include <benchmark/benchmark.h>

#include <memory>
#include <string>
#include <vector>

#include "posthatch/index/kv_events.h"
#include "posthatch/index/prefix_index.h"
#include "posthatch/runtime/random.h"

namespace posthatch::index {
namespace {

constexpr size_t kChainBlocks = 32;
constexpr uint64_t kUnlimitedBudget = uint64_t{64} << 30;
constexpr size_t kEventBlocks = 32;

using Chain = std::vector<BlockHash>;

std::vector<Chain> MakeChains(size_t blocks, uint64_t seed) {
  runtime::Random random(seed);
  std::vector<Chain> chains(blocks / kChainBlocks, Chain(kChainBlocks));
  for (Chain& chain : chains) {
    for (BlockHash& hash : chain) hash = random();
  }
  return chains;
}

struct FilledIndex {
  explicit FilledIndex(size_t blocks, size_t holders) : chains(MakeChains(blocks, 1)) {
    std::vector<PrefixIndex::GenerationId> generations;
    for (size_t i = 0; i < holders; ++i) generations.push_back(index.OpenGeneration());
    runtime::Random random(2);
    for (const Chain& chain : chains) {
      index.Insert(generations[random.Uniform(holders)], chain);
    }
  }
  std::vector<Chain> chains;
  PrefixIndex index{kUnlimitedBudget};
};

bool Any(PrefixIndex::GenerationId /*generation*/) { return true; }

// Look-ups of complete chains of 32 blocks, in random order.
void BenchmarkLookUpHit(benchmark::State& state) {
  FilledIndex filled(state.range(0), 18);
  runtime::Random random(3);
  for (auto _ : state) {
    const Chain& chain = filled.chains[random.Uniform(filled.chains.size())];
    benchmark::DoNotOptimize(filled.index.LongestPrefixes(chain, Any));
  }
  state.SetItemsProcessed(state.iterations());
  const PrefixIndex::Stats stats = filled.index.stats();
  state.counters["bytes_per_block"] =
      static_cast<double>(stats.bytes) / static_cast<double>(stats.blocks);
}
BENCHMARK(BenchmarkLookUpHit)->Arg(100'000)->Arg(1'000'000)->Arg(10'000'000);

// Look-ups of complete chains after each holder has had a block removed: every block is compared.
void BenchmarkLookUpHitWithGaps(benchmark::State& state) {
  FilledIndex filled(state.range(0), 18);
  for (const Chain& chain : MakeChains(kChainBlocks * 200, 1))
    filled.index.Remove(chain.back(), Any);
  runtime::Random random(3);
  for (auto _ : state) {
    const Chain& chain = filled.chains[random.Uniform(filled.chains.size())];
    benchmark::DoNotOptimize(filled.index.LongestPrefixes(chain, Any));
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(BenchmarkLookUpHitWithGaps)->Arg(100'000)->Arg(1'000'000)->Arg(10'000'000);

// Look-ups of chains whose first half is cached.
void BenchmarkLookUpHalf(benchmark::State& state) {
  FilledIndex filled(state.range(0), 18);
  for (Chain& chain : filled.chains) chain[kChainBlocks / 2] ^= 1;
  runtime::Random random(3);
  for (auto _ : state) {
    const Chain& chain = filled.chains[random.Uniform(filled.chains.size())];
    benchmark::DoNotOptimize(filled.index.LongestPrefixes(chain, Any));
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(BenchmarkLookUpHalf)->Arg(10'000'000);

// Look-ups of chains without a holder.
void BenchmarkLookUpMiss(benchmark::State& state) {
  FilledIndex filled(state.range(0), 18);
  const std::vector<Chain> others = MakeChains(1'000'000, 9);
  runtime::Random random(3);
  for (auto _ : state) {
    const Chain& chain = others[random.Uniform(others.size())];
    benchmark::DoNotOptimize(filled.index.LongestPrefixes(chain, Any));
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(BenchmarkLookUpMiss)->Arg(10'000'000);

// Events of 32 blocks each stored into an index that grows to range(0) blocks; items are blocks.
void BenchmarkInsert(benchmark::State& state) {
  const std::vector<Chain> chains = MakeChains(state.range(0), 1);
  for (auto _ : state) {
    PrefixIndex index(kUnlimitedBudget);
    const PrefixIndex::GenerationId generation = index.OpenGeneration();
    for (const Chain& chain : chains) index.Insert(generation, chain);
    benchmark::DoNotOptimize(index.stats());
  }
  state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(BenchmarkInsert)->Arg(1'000'000)->Arg(10'000'000)->Unit(benchmark::kMillisecond);

// Insertions into an index whose budget is used up: each one evicts another block.
void BenchmarkInsertWithEviction(benchmark::State& state) {
  FilledIndex filled(1'000'000, 18);
  PrefixIndex index(filled.index.stats().bytes);
  const PrefixIndex::GenerationId generation = index.OpenGeneration();
  for (const Chain& chain : filled.chains) index.Insert(generation, chain);
  const std::vector<Chain> chains = MakeChains(1'000'000, 5);
  size_t next = 0;
  for (auto _ : state) index.Insert(generation, chains[next++ % chains.size()]);
  state.SetItemsProcessed(state.iterations() * static_cast<int64_t>(kChainBlocks));
  state.counters["evicted"] = static_cast<double>(index.stats().evicted_blocks);
}
BENCHMARK(BenchmarkInsertWithEviction);

void BenchmarkDropGeneration(benchmark::State& state) {
  PrefixIndex index(kUnlimitedBudget);
  const Chain chain(1, 77);
  for (auto _ : state) {
    const PrefixIndex::GenerationId generation = index.OpenGeneration();
    index.Insert(generation, chain);
    index.DropGeneration(generation);
  }
}
BENCHMARK(BenchmarkDropGeneration);

// Parses a body of 100 events of 32 blocks; items are blocks.
void BenchmarkParseKvEvents(benchmark::State& state) {
  constexpr int kEvents = 100;
  std::string body = R"({"epoch":1,"next":100,"events":[)";
  for (int event = 1; event <= kEvents; ++event) {
    if (event > 1) body += ",";
    body += R"({"seq":)" + std::to_string(event) + R"(,"type":"stored","first":0,"blocks":[)";
    for (size_t block = 0; block < kEventBlocks; ++block) {
      body += block == 0 ? "" : ",";
      body += "\"0123456789abcdef\"";
    }
    body += "]}";
  }
  body += "]}";
  for (auto _ : state) benchmark::DoNotOptimize(ParseKvEvents(body));
  state.SetItemsProcessed(state.iterations() * kEvents * static_cast<int64_t>(kEventBlocks));
}
BENCHMARK(BenchmarkParseKvEvents);

}  // namespace
}  // namespace posthatch::index
