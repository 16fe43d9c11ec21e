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

// Proposals and reads that a leader has accepted but not yet completed. All belong to one term:
// when leadership is lost, FailAll completes them. Each callback is called exactly once, after its
// request was removed from this object, so that it may add further requests. Owned by RaftReplica;
// event loop thread only.
class PendingRequests {
 public:
  // `metrics` must outlive this object.
  explicit PendingRequests(ReplicaMetrics* metrics) : metrics_(metrics) {}

  // Adds the proposal that was appended to the log at `index` in `term`.
  void AddProposal(uint64_t index, uint64_t term, runtime::MonotonicTime now,
                   ReplicatedLog::ProposeDone done);
  // `read_id` is the id that RaftCore::RequestRead returned.
  void AddRead(uint64_t read_id, uint64_t term, ReplicatedLog::ReadDone done);

  // Called when `entry` is committed and applied: completes the proposal at its index with
  // `result`, or with Aborted if another leader's entry was committed there.
  void OnApplied(const storage::LogEntry& entry, std::string result, runtime::MonotonicTime now);
  void OnReadsConfirmed(const std::vector<uint64_t>& read_ids);
  // Completes all pending requests with `status`.
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
  std::map<uint64_t, Proposal> proposals_;             // keyed by log index
  std::map<uint64_t, ReplicatedLog::ReadDone> reads_;  // keyed by read id
  uint64_t term_ = 0;
};

}  // namespace posthatch::consensus
