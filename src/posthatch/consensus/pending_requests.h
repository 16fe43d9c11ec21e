#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "posthatch/consensus/replica_metrics.h"
#include "posthatch/consensus/replicated_log.h"
#include "posthatch/runtime/clock.h"
#include "posthatch/storage/log_record.pb.h"

namespace posthatch::consensus {

// Proposals and reads that a leader has accepted and not yet completed. All belong to one term:
// when leadership changes hands, FailAll ends them. Each callback is called exactly once, after the
// request has left this object, so that it may add further ones. Owned by RaftReplica; event loop
// thread only.
class PendingRequests {
 public:
  // `metrics` must outlive this object.
  explicit PendingRequests(ReplicaMetrics* metrics) : metrics_(metrics) {}

  // The proposal became the log entry at `index`, in `term`.
  void AddProposal(uint64_t index, uint64_t term, runtime::MonotonicTime now,
                   ReplicatedLog::ProposeDone done);
  // `read_id` is RaftCore's.
  void AddRead(uint64_t read_id, uint64_t term, ReplicatedLog::ReadDone done);

  // `entry` is committed and applied with `result`: completes the proposal that was to become this
  // entry, with Aborted if another leader's entry was committed in its place.
  void OnApplied(const storage::LogEntry& entry, std::string result, runtime::MonotonicTime now);
  void OnReadsConfirmed(const std::vector<uint64_t>& read_ids);
  // Ends all of them with `status`.
  void FailAll(const absl::Status& status);

  // Term of the newest request; 0 before the first.
  uint64_t term() const { return term_; }

 private:
  struct Proposal {
    uint64_t term;
    runtime::MonotonicTime proposed_at;
    ReplicatedLog::ProposeDone done;
  };

  ReplicaMetrics* const metrics_;
  std::map<uint64_t, Proposal> proposals_;             // by log index
  std::map<uint64_t, ReplicatedLog::ReadDone> reads_;  // by read id
  uint64_t term_ = 0;
};

}  // namespace posthatch::consensus
