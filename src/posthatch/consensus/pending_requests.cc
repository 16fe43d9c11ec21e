#include "posthatch/consensus/pending_requests.h"

#include <utility>

namespace posthatch::consensus {

void PendingRequests::AddProposal(uint64_t index, uint64_t term, runtime::MonotonicTime now,
                                  ReplicatedLog::ProposeDone done) {
  term_ = term;
  proposals_.emplace(index, Proposal{term, now, std::move(done)});
}

void PendingRequests::AddRead(uint64_t read_id, uint64_t term, ReplicatedLog::ReadDone done) {
  term_ = term;
  reads_.emplace(read_id, std::move(done));
}

void PendingRequests::OnApplied(const storage::LogEntry& entry, std::string result,
                                runtime::MonotonicTime now) {
  const auto found = proposals_.find(entry.index());
  if (found == proposals_.end()) return;
  Proposal proposal = std::move(found->second);
  proposals_.erase(found);
  if (proposal.term != entry.term()) {
    proposal.done(absl::AbortedError("replaced by an entry of another leader"));
    return;
  }
  metrics_->ObserveCommit(now - proposal.proposed_at);
  proposal.done(std::move(result));
}

void PendingRequests::OnReadsConfirmed(const std::vector<uint64_t>& read_ids) {
  for (const uint64_t read_id : read_ids) {
    const auto found = reads_.find(read_id);
    if (found == reads_.end()) continue;
    ReplicatedLog::ReadDone done = std::move(found->second);
    reads_.erase(found);
    done(absl::OkStatus());
  }
}

void PendingRequests::FailAll(const absl::Status& status) {
  std::map<uint64_t, Proposal> proposals = std::exchange(proposals_, {});
  std::map<uint64_t, ReplicatedLog::ReadDone> reads = std::exchange(reads_, {});
  for (auto& [index, proposal] : proposals) proposal.done(status);
  for (auto& [read_id, done] : reads) done(status);
}

}  // namespace posthatch::consensus
