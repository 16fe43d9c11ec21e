#include "posthatch/emulator/kv_transfer.h"

#include <boost/json/serialize.hpp>

#include "posthatch/emulator/json_body.h"

namespace posthatch::emulator {

namespace json = boost::json;

std::string FetchBody(const std::string& salt, const std::vector<index::BlockHash>& blocks) {
  json::array hashes;
  for (const index::BlockHash block : blocks) hashes.emplace_back(ToHex(block));
  return json::serialize(json::object{{"salt", salt}, {"blocks", std::move(hashes)}});
}

std::vector<index::BlockHash> ReadBlocks(const json::object& body) {
  std::vector<index::BlockHash> blocks;
  const json::array* hashes = ArrayField(body, "blocks");
  if (hashes == nullptr) return blocks;
  for (const json::value& text : *hashes) {
    index::BlockHash hash = 0;
    if (!text.is_string()) break;
    if (!FromHex({text.get_string().data(), text.get_string().size()}, &hash)) break;
    blocks.push_back(hash);
  }
  return blocks;
}

json::array MakersToJson(const std::vector<BlockMaker>& makers) {
  json::array runs;
  for (size_t start = 0; start < makers.size();) {
    size_t end = start;
    while (end < makers.size() && makers[end] == makers[start]) ++end;
    runs.push_back(json::object{{"tenant", makers[start].tenant},
                                {"revision", makers[start].model_revision},
                                {"blocks", end - start}});
    start = end;
  }
  return runs;
}

std::vector<BlockMaker> MakersFromJson(const json::array* runs) {
  constexpr uint64_t kMaxBlocks = 1'000'000;
  std::vector<BlockMaker> makers;
  if (runs == nullptr) return makers;
  for (const json::value& run : *runs) {
    const json::object* fields = run.if_object();
    if (fields == nullptr) break;
    const uint64_t blocks = NumberField(*fields, "blocks");
    if (blocks > kMaxBlocks - makers.size()) break;
    makers.insert(makers.end(), blocks,
                  {TextField(*fields, "tenant"), NumberField(*fields, "revision")});
  }
  return makers;
}

json::object FetchResponse(const std::string& cache_holder, uint64_t epoch,
                           const std::vector<BlockMaker>& makers) {
  return {{"holder", cache_holder},
          {"epoch", epoch},
          {"blocks", makers.size()},
          {"made_by", MakersToJson(makers)}};
}

runtime::Duration TransferTime(uint64_t blocks, uint64_t bytes_per_block,
                               uint64_t link_bytes_per_second) {
  if (link_bytes_per_second == 0) return runtime::Duration::zero();
  const double seconds = static_cast<double>(blocks) * static_cast<double>(bytes_per_block) /
                         static_cast<double>(link_bytes_per_second);
  return runtime::Duration(static_cast<int64_t>(seconds * 1e9));
}

}  // namespace posthatch::emulator
