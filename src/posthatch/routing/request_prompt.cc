#include "posthatch/routing/request_prompt.h"

#include <algorithm>
#include <utility>

#include "posthatch/index/trusted_prefix_locator.h"

namespace posthatch::routing {

RequestPrompt::RequestPrompt(const TrafficContext* context, const AdmittedCall* admitted)
    : context_(context), admitted_(admitted) {
  if (admitted_->IsPrompt()) ComputeShape();
}

void RequestPrompt::ComputeShape() {
  uint64_t tokens = 0;
  std::vector<std::string> ids;
  for (const PromptSegment& segment : admitted_->call.segments) {
    tokens += segment.tokens;
    shape_.cumulative_tokens.push_back(tokens);
    ids.push_back(segment.id);
  }
  // The last segment is specific to the request; a prompt of one segment shares nothing and may be
  // placed anywhere.
  const size_t shared = ids.empty() ? 0 : ids.size() - 1;
  // Prompts of tenants that are isolated from each other share no cache entries and needn't be
  // placed together: the salt for revision 0 (none) makes their affinities differ.
  ids.insert(ids.begin(), CacheSalt(0));
  shape_.affinity = index::HashSegmentPrefix(ids, shared + 1);
  shape_.shared_tokens = shape_.TokensInFirst(static_cast<uint32_t>(shared));
}

std::string RequestPrompt::CacheSalt(uint64_t revision) const {
  return index::CacheSalt(
      context_->lookup->SeedFor(admitted_->call.model, revision, admitted_->tenant));
}

std::vector<uint64_t> RequestPrompt::RevisionsToLocate() const {
  std::vector<uint64_t> revisions = context_->pool->RevisionsServed(admitted_->service.name());
  if (!context_->switches.older_revisions || revisions.empty()) {
    revisions = {context_->pool->TargetRevision(admitted_->call.model)};
  }
  return revisions;
}

std::vector<index::PrefixHolder> RequestPrompt::LocatePrefix() {
  std::vector<std::string> ids;
  for (const PromptSegment& segment : admitted_->call.segments) ids.push_back(segment.id);
  chains_.clear();
  std::vector<index::PrefixHolder> holders;
  for (const uint64_t revision : RevisionsToLocate()) {
    HashedChain chain;
    chain.seed = context_->lookup->SeedFor(admitted_->call.model, revision, admitted_->tenant);
    chain.blocks = index::HashSegments(index::CacheSalt(chain.seed), ids);
    const std::vector<index::PrefixHolder> found =
        context_->locator->Locate(chain.seed, chain.blocks);
    holders.insert(holders.end(), found.begin(), found.end());
    chains_.push_back(std::move(chain));
  }
  return holders;
}

void RequestPrompt::RecordCached(const std::string& worker_id, uint64_t revision) {
  const auto chain =
      std::find_if(chains_.begin(), chains_.end(), [revision](const HashedChain& candidate) {
        return candidate.seed.model_revision == revision;
      });
  invalidation::ObjectVersion version;
  const std::string object = index::HolderObject(index::HolderKind::kWorker, worker_id);
  if (chain == chains_.end() || !context_->trust->CurrentVersion(object, &version)) return;
  context_->locator->RecordDispatch(chain->seed, chain->blocks, worker_id, version.epoch());
}

}  // namespace posthatch::routing
