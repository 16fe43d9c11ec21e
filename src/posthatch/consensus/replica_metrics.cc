#include "posthatch/consensus/replica_metrics.h"

#include "posthatch/util/metrics.h"

namespace posthatch::consensus {

using util::AddCounter;
using util::AddGauge;

void ReplicaMetrics::Register(prometheus::Registry* registry) {
  if (registry == nullptr) return;
  const auto histogram = [registry](const char* name, const char* help) {
    const prometheus::Histogram::BucketBoundaries buckets{0.001, 0.002, 0.005, 0.01, 0.025, 0.05,
                                                          0.1,   0.25,  0.5,   1,    2.5,   10};
    return &prometheus::BuildHistogram().Name(name).Help(help).Register(*registry).Add({}, buckets);
  };
  committed_total_ =
      &AddCounter(registry, "posthatch_raft_committed_total", "Entries applied by this replica");
  elections_won_total_ = &AddCounter(registry, "posthatch_raft_elections_won_total",
                                     "Times this replica became leader");
  snapshots_total_ =
      &AddCounter(registry, "posthatch_raft_snapshots_total", "Snapshots made durable");
  commit_seconds_ = histogram("posthatch_raft_commit_seconds",
                              "Time from proposal to the state machine's result, on the leader");
  sync_seconds_ =
      histogram("posthatch_raft_sync_seconds", "Duration of each log write including its sync");
  tick_delay_seconds_ = histogram(
      "posthatch_raft_tick_delay_seconds",
      "Time by which the replica's timer ran late because its process was busy or paused");
  is_leader_ = &AddGauge(registry, "posthatch_raft_is_leader", "1 on the leader, else 0");
  term_ = &AddGauge(registry, "posthatch_raft_term", "Current term");
  log_bytes_ =
      &AddGauge(registry, "posthatch_raft_log_bytes", "Bytes of log entries kept in memory");
}

void ReplicaMetrics::CountAppliedEntry() {
  if (committed_total_ != nullptr) committed_total_->Increment();
}

void ReplicaMetrics::CountElectionWon() {
  if (elections_won_total_ != nullptr) elections_won_total_->Increment();
}

void ReplicaMetrics::CountSnapshot() {
  if (snapshots_total_ != nullptr) snapshots_total_->Increment();
}

void ReplicaMetrics::ObserveCommit(runtime::Duration since_proposal) {
  if (commit_seconds_ == nullptr) return;
  commit_seconds_->Observe(runtime::ToMilliseconds(since_proposal) / 1000);
}

void ReplicaMetrics::ObserveSync(runtime::Duration sync_duration) {
  if (sync_seconds_ == nullptr) return;
  sync_seconds_->Observe(runtime::ToMilliseconds(sync_duration) / 1000);
}

void ReplicaMetrics::ObserveTickDelay(runtime::Duration delay) {
  if (tick_delay_seconds_ == nullptr) return;
  tick_delay_seconds_->Observe(runtime::ToMilliseconds(delay) / 1000);
}

void ReplicaMetrics::SetIsLeader(bool is_leader) {
  if (is_leader_ != nullptr) is_leader_->Set(is_leader ? 1 : 0);
}

void ReplicaMetrics::SetTerm(uint64_t term) {
  if (term_ != nullptr) term_->Set(static_cast<double>(term));
}

void ReplicaMetrics::SetLogBytes(uint64_t bytes) {
  if (log_bytes_ != nullptr) log_bytes_->Set(static_cast<double>(bytes));
}

}  // namespace posthatch::consensus
