#include "posthatch/routing/placement.h"

#include <algorithm>

namespace posthatch::routing {

uint64_t PromptShape::TokensInFirst(uint32_t segments) const {
  if (segments == 0 || cumulative_tokens.empty()) return 0;
  return cumulative_tokens[std::min<size_t>(segments, cumulative_tokens.size()) - 1];
}

bool SharedSegmentsAreCached(const PlacementQuery& query, uint64_t revision) {
  return std::any_of(query.holders.begin(), query.holders.end(), [&](const auto& holder) {
    return holder.model_revision == revision &&
           query.prompt->TokensInFirst(holder.blocks) >= query.prompt->shared_tokens;
  });
}

}  // namespace posthatch::routing
