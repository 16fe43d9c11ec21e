#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstdint>

#include "posthatch/runtime/clock.h"

namespace posthatch::consensus {

// The metrics of one RaftReplica, described for operators in docs/operations/controllers.md.
// Every method is a no-op before Register, and in a process without a registry. Owned by
// RaftReplica; event loop thread only.
class ReplicaMetrics {
 public:
  // Adds the metric families; `registry` may be null and must outlive this object.
  void Register(prometheus::Registry* registry);

  void CountAppliedEntry();
  void CountElectionWon();
  void CountSnapshot();
  void ObserveCommit(runtime::Duration since_proposal);
  void ObserveSync(runtime::Duration sync_duration);
  void ObserveTickDelay(runtime::Duration delay);
  void SetIsLeader(bool is_leader);
  void SetTerm(uint64_t term);
  void SetLogBytes(uint64_t bytes);

 private:
  // Owned by the registry; all null if there is none.
  prometheus::Counter* committed_total_ = nullptr;
  prometheus::Counter* elections_won_total_ = nullptr;
  prometheus::Counter* snapshots_total_ = nullptr;
  prometheus::Histogram* commit_seconds_ = nullptr;
  prometheus::Histogram* sync_seconds_ = nullptr;
  prometheus::Histogram* tick_delay_seconds_ = nullptr;
  prometheus::Gauge* is_leader_ = nullptr;
  prometheus::Gauge* term_ = nullptr;
  prometheus::Gauge* log_bytes_ = nullptr;
};

}  // namespace posthatch::consensus
