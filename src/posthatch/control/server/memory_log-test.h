#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "posthatch/consensus/replicated_log.h"
#include "posthatch/control/server/leader_lease_guard.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::control {

// In-memory log and leadership of a whole cluster: entries are never lost, and commit at once.
struct MemoryCluster {
  struct Entry {
    uint64_t term;
    std::string command;
  };
  std::vector<Entry> entries;
  std::string leader_endpoint;
  uint64_t term = 0;
  // A controller that receives neither entries nor leader changes.
  std::string partitioned_endpoint;

  void Elect(const std::string& endpoint) {
    ++term;
    leader_endpoint = endpoint;
    entries.push_back({term, ""});  // empty entry, like the one that starts a Raft term
  }
};

// One controller's replica of a MemoryCluster: receives entries and leader changes with a delay,
// during which a deposed leader still considers itself the leader. Proposals complete after
// kCommitTime.
class MemoryLog : public consensus::ReplicatedLog, public LeaderLeaseGuard {
 public:
  static constexpr runtime::Duration kCommitTime = std::chrono::milliseconds(2);
  static constexpr runtime::Duration kSyncInterval = std::chrono::milliseconds(5);

  MemoryLog(runtime::Runtime* runtime, MemoryCluster* cluster,
            consensus::StateMachine* state_machine)
      : runtime_(runtime),
        cluster_(cluster),
        state_machine_(state_machine),
        timer_(runtime->timers) {
    Sync();
  }

  void Propose(std::string command, ProposeDone done) override {
    if (!is_leader_) {
      done(absl::FailedPreconditionError("not leader"));
      return;
    }
    if (!HasLeaderLease()) {
      done(absl::UnavailableError("lost leadership"));
      return;
    }
    cluster_->entries.push_back({cluster_->term, std::move(command)});
    runtime_->timers->Schedule(kCommitTime,
                               [this, index = cluster_->entries.size(), done = std::move(done)] {
                                 if (applied_index_ < index) ApplyUpTo(index);
                                 done(std::move(results_[index - 1]));
                               });
  }
  void ReadBarrier(ReadDone done) override {
    done(HasLeaderLease() ? absl::OkStatus() : absl::FailedPreconditionError("not leader"));
  }
  bool IsLeader() const override { return is_leader_; }
  uint64_t term() const override { return term_; }
  uint64_t applied_index() const override { return applied_index_; }
  consensus::ReplicaRole role() const override {
    return is_leader_ ? consensus::ReplicaRole::kLeader : consensus::ReplicaRole::kFollower;
  }
  std::string leader_endpoint() const override { return cluster_->leader_endpoint; }
  void SetLeadershipListener(LeadershipListener listener) override {
    listener_ = std::move(listener);
  }
  bool HasLeaderLease() const override {
    return cluster_->leader_endpoint == runtime_->transport->endpoint() && cluster_->term == term_;
  }

 private:
  void Sync() {
    timer_.Start(kSyncInterval, [this] { Sync(); });
    if (cluster_->partitioned_endpoint == runtime_->transport->endpoint()) return;
    ApplyUpTo(cluster_->entries.size());
    const bool is_leader = cluster_->leader_endpoint == runtime_->transport->endpoint();
    const bool changed = is_leader != is_leader_ || (is_leader && term_ != cluster_->term);
    is_leader_ = is_leader;
    term_ = cluster_->term;
    if (changed && listener_) listener_(is_leader_, term_);
  }
  void ApplyUpTo(uint64_t index) {
    while (applied_index_ < index) {
      const MemoryCluster::Entry entry = cluster_->entries[applied_index_];
      ++applied_index_;
      results_.push_back(entry.command.empty()
                             ? std::string()
                             : state_machine_->Apply(applied_index_, entry.term, entry.command));
    }
  }

  runtime::Runtime* const runtime_;
  MemoryCluster* const cluster_;
  consensus::StateMachine* const state_machine_;
  runtime::Timer timer_;
  LeadershipListener listener_;
  std::vector<std::string> results_;
  uint64_t applied_index_ = 0;
  uint64_t term_ = 0;
  bool is_leader_ = false;
};

}  // namespace posthatch::control
