#include "posthatch/index/prefix_index.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

#include "posthatch/runtime/random.h"

namespace posthatch::index {
namespace {

using GenerationId = PrefixIndex::GenerationId;
constexpr uint64_t kUnlimitedBudget = uint64_t{1} << 40;

bool Any(GenerationId /*generation*/) { return true; }

std::vector<BlockHash> RandomChain(runtime::Random* random, size_t length) {
  std::vector<BlockHash> chain(length);
  for (BlockHash& hash : chain) hash = (*random)();
  return chain;
}

std::map<GenerationId, uint32_t> LookUp(PrefixIndex* index, const std::vector<BlockHash>& chain) {
  std::map<GenerationId, uint32_t> found;
  for (const PrefixIndex::Match& match : index->LongestPrefixes(chain, Any)) {
    found[match.generation] = match.blocks;
  }
  return found;
}

TEST(PrefixIndexTest, FindsLongestPrefixOfEachHolder) {
  PrefixIndex index(kUnlimitedBudget);
  runtime::Random random(1);
  const auto chain = RandomChain(&random, 40);
  std::map<GenerationId, uint32_t> expected;
  for (const uint32_t length : {1, 2, 7, 31, 32, 39, 40}) {
    const GenerationId generation = index.OpenGeneration();
    index.Insert(generation, absl::MakeSpan(chain).first(length));
    expected[generation] = length;
  }
  EXPECT_EQ(LookUp(&index, chain), expected);
  const auto matches = index.LongestPrefixes(chain, Any);
  EXPECT_EQ(matches.front().blocks, 40u);
  EXPECT_EQ(matches.back().blocks, 1u);
  const auto only_first = [first = expected.begin()->first](GenerationId id) {
    return id == first;
  };
  EXPECT_EQ(index.LongestPrefixes(chain, only_first).size(), 1u);
  EXPECT_TRUE(index.LongestPrefixes(RandomChain(&random, 3), Any).empty());
}

TEST(PrefixIndexTest, RemovalWithinChainEndsPrefix) {
  PrefixIndex index(kUnlimitedBudget);
  runtime::Random random(2);
  const auto chain = RandomChain(&random, 32);
  const GenerationId generation = index.OpenGeneration();
  for (const size_t gap : {30, 17, 9, 2, 1}) {
    index.Insert(generation, chain);
    EXPECT_EQ(LookUp(&index, chain)[generation], 32u);
    EXPECT_EQ(index.Remove(chain[gap], Any), 1u);
    EXPECT_EQ(LookUp(&index, chain)[generation], gap);
  }
}

// Random operations against a reference map, over many sizes of the table.
TEST(PrefixIndexTest, MatchesReferenceMap) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    runtime::Random random(seed);
    PrefixIndex index(kUnlimitedBudget);
    std::vector<std::vector<BlockHash>> chains;
    chains.reserve(200);
    for (int i = 0; i < 200; ++i) chains.push_back(RandomChain(&random, 1 + random.Uniform(60)));
    // Keyed by live generation: cached length of each chain; always a prefix, as in workers.
    std::map<GenerationId, std::map<size_t, uint32_t>> cached_lengths;
    for (int step = 0; step < 4000; ++step) {
      const size_t number = random.Uniform(chains.size());
      const std::vector<BlockHash>& chain = chains[number];
      const uint64_t action = random.Uniform(20);
      if (cached_lengths.size() < 4) cached_lengths[index.OpenGeneration()];
      auto& [generation, lengths] =
          *std::next(cached_lengths.begin(), random.Uniform(cached_lengths.size()));
      if (action == 0 && random.Chance(0.2)) {
        index.DropGeneration(generation);
        cached_lengths.erase(generation);
      } else if (action < 12) {
        const auto length = static_cast<uint32_t>(1 + random.Uniform(chain.size()));
        index.Insert(generation, absl::MakeSpan(chain).first(length));
        lengths[number] = std::max(lengths[number], length);
      } else if (action < 18 && lengths.contains(number)) {
        const auto remaining = static_cast<uint32_t>(random.Uniform(lengths[number]));
        const auto is_same_generation = [id = generation](GenerationId candidate) {
          return candidate == id;
        };
        for (uint32_t i = remaining; i < lengths[number]; ++i) {
          EXPECT_EQ(index.Remove(chain[i], is_same_generation), 1u);
        }
        remaining == 0 ? void(lengths.erase(number)) : void(lengths[number] = remaining);
      } else {
        index.SweepStep();
      }
      std::map<GenerationId, uint32_t> expected;
      for (const auto& [id, lengths_by_chain] : cached_lengths) {
        const auto found = lengths_by_chain.find(number);
        if (found != lengths_by_chain.end()) expected[id] = found->second;
      }
      ASSERT_EQ(LookUp(&index, chain), expected) << "seed " << seed << " step " << step;
    }
    uint64_t blocks = 0;
    for (const auto& [id, lengths_by_chain] : cached_lengths) {
      for (const auto& [number, length] : lengths_by_chain) blocks += length;
    }
    EXPECT_EQ(index.stats().blocks, blocks);
  }
}

TEST(PrefixIndexTest, StaysWithinBudgetAndRetainsRecentlyUsed) {
  constexpr uint64_t kBudget = 1024UL * 1024;
  PrefixIndex index(kBudget);
  runtime::Random random(7);
  const GenerationId generation = index.OpenGeneration();
  const auto used = RandomChain(&random, 32);
  index.Insert(generation, used);
  for (int i = 0; i < 20000; ++i) {
    index.Insert(generation, RandomChain(&random, 16));
    if (i % 50 == 0) index.Insert(generation, used);  // each dispatch contains its whole chain
  }
  EXPECT_LE(index.stats().bytes, kBudget);
  EXPECT_GT(index.stats().evicted_blocks, 200000u);
  EXPECT_GT(index.stats().blocks, kBudget / 30) << "the budget is not used";
  EXPECT_EQ(LookUp(&index, used)[generation], 32u);
}

TEST(PrefixIndexTest, BlockCostsAtMost24Bytes) {
  PrefixIndex index(kUnlimitedBudget);
  runtime::Random random(3);
  const GenerationId generation = index.OpenGeneration();
  for (const size_t blocks : {100'000, 250'000, 700'000, 1'000'000}) {
    while (index.stats().blocks < blocks) index.Insert(generation, RandomChain(&random, 100));
    EXPECT_LE(index.stats().bytes, blocks * 24) << blocks;
  }
}

TEST(PrefixIndexTest, DroppedBlocksAreSweptAndIdsReused) {
  PrefixIndex index(kUnlimitedBudget);
  runtime::Random random(5);
  const GenerationId dropped = index.OpenGeneration();
  index.Insert(dropped, RandomChain(&random, 100'000));
  const uint64_t bytes = index.stats().bytes;
  index.DropGeneration(dropped);
  EXPECT_EQ(index.stats().blocks, 0u);
  EXPECT_EQ(index.stats().dropped_blocks, 100'000u);
  for (int i = 0; i < 2000; ++i) index.SweepStep();
  EXPECT_EQ(index.stats().dropped_blocks, 0u);
  EXPECT_LT(index.stats().bytes, bytes / 4);
  EXPECT_EQ(index.OpenGeneration(), dropped);
}

TEST(PrefixIndexTest, HoldersPerBlockAreBounded) {
  PrefixIndex index(kUnlimitedBudget);
  std::vector<BlockHash> block = {42};
  for (int i = 0; i < 1000; ++i) index.Insert(index.OpenGeneration(), block);
  EXPECT_EQ(LookUp(&index, block).size(), PrefixIndex::kMaxHoldersPerBlock);
}

}  // namespace
}  // namespace posthatch::index
