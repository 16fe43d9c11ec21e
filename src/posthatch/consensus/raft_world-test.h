#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "posthatch/consensus/log_history-test.h"
#include "posthatch/consensus/raft_replica.h"
#include "posthatch/simulation/sim_world.h"

namespace posthatch::consensus {

// A state machine that keeps the list of commands; the result of a command is its position.
class ListStateMachine : public StateMachine {
 public:
  ListStateMachine(std::string replica, LogHistory* history)
      : replica_(std::move(replica)), history_(history) {}

  std::string Apply(uint64_t, uint64_t, const std::string& command) override {
    commands_.push_back(command);
    history_->OnApplied(replica_, commands_.size(), command);
    return absl::StrCat(commands_.size());
  }
  std::string TakeSnapshot() const override { return absl::StrJoin(commands_, "\n"); }
  absl::Status RestoreSnapshot(const std::string& snapshot) override {
    commands_ = absl::StrSplit(snapshot, '\n', absl::SkipEmpty());
    for (size_t i = 0; i < commands_.size(); ++i) {
      history_->OnApplied(replica_, i + 1, commands_[i]);
    }
    return absl::OkStatus();
  }
  const std::vector<std::string>& commands() const { return commands_; }

 private:
  const std::string replica_;
  LogHistory* const history_;
  std::vector<std::string> commands_;
};

struct Process {
  Process(runtime::Runtime* runtime, ReplicaOptions options, const std::string& name,
          LogHistory* history)
      : state_machine(name, history), replica(runtime, std::move(options), &state_machine) {}
  ListStateMachine state_machine;
  RaftReplica replica;
};

// A cluster of `size` controllers with clients.
class RaftWorld {
 public:
  struct Node {
    simulation::SimHost* host = nullptr;
    Process* process = nullptr;  // null while not running
    bool frozen = false;
    uint64_t id_on_disk = 0;  // replica id at the latest start; 0 once the disk is lost
  };

  // Changes the options of a replica that is about to start.
  using AdjustOptions = std::function<void(size_t node, ReplicaOptions* options)>;

  RaftWorld(uint64_t seed, size_t size, AdjustOptions adjust = {},
            runtime::Duration start_spread = {})
      : adjust_(std::move(adjust)), world_(seed), random_(seed * 31 + size), nodes_(size) {
    for (size_t i = 0; i < size; ++i) {
      const std::string name = absl::StrCat("controller", i);
      nodes_[i].host =
          world_.AddHost(name, absl::StrCat("zone", i), absl::StrCat("10.0.0.", i + 1));
    }
    for (size_t i = 0; i < size; ++i) {
      nodes_[i].host->SetBoot([this, i](runtime::Runtime* runtime) { return Boot(i, runtime); });
      if (start_spread <= runtime::Duration::zero()) {
        nodes_[i].host->Start();
        continue;
      }
      world_.At(random_.Between(runtime::Duration::zero(), start_spread),
                [this, i] { nodes_[i].host->Start(); });
    }
  }
  ~RaftWorld() {
    for (Node& node : nodes_) {
      node.host->Thaw();
      node.host->Crash();
    }
  }

  simulation::SimWorld& world() { return world_; }
  runtime::Random& random() { return random_; }
  LogHistory& history() { return history_; }
  std::vector<Node>& nodes() { return nodes_; }
  ReplicaOptions& options() { return options_; }

  bool Usable(size_t i) const {
    return nodes_[i].process != nullptr && !nodes_[i].frozen && nodes_[i].host->running();
  }
  RaftReplica* Replica(size_t i) { return &nodes_[i].process->replica; }

  // Index of the usable leader of the highest term that has a quorum; -1 if none.
  int Leader() {
    int leader = -1;
    for (size_t i = 0; i < nodes_.size(); ++i) {
      if (!Usable(i) || !Replica(i)->IsLeader() || !Replica(i)->HasQuorumNow()) continue;
      if (leader < 0 || Replica(i)->term() > Replica(static_cast<size_t>(leader))->term()) {
        leader = static_cast<int>(i);
      }
    }
    return leader;
  }
  bool RunUntilLeader(runtime::Duration limit = std::chrono::seconds(30)) {
    return world_.RunUntil([this] { return Leader() >= 0; }, limit);
  }

  void Append(size_t i) {
    LogHistory::Operation operation;
    operation.command = absl::StrCat("c", next_command_++);
    operation.begin_ns = NowNs();
    const auto completed = std::make_shared<bool>(false);
    Replica(i)->Propose(operation.command,
                        [this, operation, completed](absl::StatusOr<std::string> result) mutable {
                          *completed = true;
                          if (result.ok()) {
                            operation.end_ns = NowNs();
                            EXPECT_TRUE(absl::SimpleAtoi(*result, &operation.position));
                            const auto callback = std::exchange(on_acknowledged_, nullptr);
                            if (callback) callback();
                          }
                          if (!result.ok() && !absl::IsAborted(result.status())) return;
                          history_.AddOperation(std::move(operation));
                        });
    if (!*completed) ++proposed_;
  }

  void Read(size_t i) {
    LogHistory::Operation operation;
    operation.is_read = true;
    operation.begin_ns = NowNs();
    Process* process = nodes_[i].process;
    process->replica.ReadBarrier([this, process, operation](const absl::Status& status) mutable {
      if (!status.ok()) return;
      operation.end_ns = NowNs();
      operation.position = process->state_machine.commands().size();
      history_.AddOperation(std::move(operation));
    });
  }

  // Every few milliseconds a client calls a random usable replica, whether or not it leads.
  void RunClients() {
    const size_t i = random_.Uniform(nodes_.size());
    if (Usable(i)) random_.Chance(0.7) ? Append(i) : Read(i);
    CheckQuorums();
    if (!clients_stopped_) {
      world_.At(random_.Between(std::chrono::milliseconds(2), std::chrono::milliseconds(25)),
                [this] { RunClients(); });
    }
  }
  void StopClients() { clients_stopped_ = true; }
  // `callback` is called once, at the next acknowledgement.
  void SetOnAcknowledged(std::function<void()> callback) { on_acknowledged_ = std::move(callback); }

  void CheckQuorums() {
    int with_quorum = 0;
    for (size_t i = 0; i < nodes_.size(); ++i) {
      with_quorum += Usable(i) && Replica(i)->HasQuorumNow() ? 1 : 0;
    }
    if (with_quorum > 1) history_.OnTwoQuorums();
  }

  // Whether a majority of the current voters would still have their disks after the loss of one
  // more disk.
  bool ToleratesDiskLoss() {
    const int leader = Leader();
    if (leader < 0) return false;
    size_t voters = 0;
    size_t lost = 0;
    for (const ReplicaStatus::MemberStatus& member :
         Replica(static_cast<size_t>(leader))->Status().members) {
      if (!member.voter) continue;
      ++voters;
      lost += HasDiskOf(member.replica_id) ? 0 : 1;
    }
    return lost + 1 <= (voters - 1) / 2;
  }

  // Whether all replicas are voters of one cluster that has no other member.
  bool IsFullyReplicated() {
    const int leader = Leader();
    if (leader < 0) return false;
    const ReplicaStatus status = Replica(static_cast<size_t>(leader))->Status();
    for (size_t i = 0; i < nodes_.size(); ++i) {
      if (!Usable(i) || Replica(i)->Status().cluster_id != status.cluster_id) return false;
    }
    for (const ReplicaStatus::MemberStatus& member : status.members) {
      if (!member.voter || !HasDiskOf(member.replica_id)) return false;
    }
    return status.members.size() == nodes_.size();
  }

  void LoseDisk(size_t i) {
    nodes_[i].host->PowerLoss();
    nodes_[i].host->LoseDisk();
    nodes_[i].id_on_disk = 0;
  }

  // Removes all faults and waits until all replicas have equally many commands. Returns a
  // description of the failure, or an empty string.
  std::string HealAndConverge() {
    world_.HealAll();
    world_.SetNetwork({});
    for (Node& node : nodes_) {
      node.host->Thaw();
      node.frozen = false;
      node.host->SetDiskDelay(std::chrono::milliseconds(1));
      node.host->SetDiskFull(false);
      node.host->Start();
    }
    if (!RunUntilLeader(std::chrono::seconds(60))) return "no leader after all faults were removed";
    const size_t before = history_.acknowledged();
    if (!world_.RunUntil([this, before] { return history_.acknowledged() > before; },
                         std::chrono::seconds(30))) {
      return "no command acknowledged after all faults were removed";
    }
    StopClients();
    const auto equal = [this] {
      for (size_t i = 0; i < nodes_.size(); ++i) {
        if (!Usable(i) || Length(i) != Length(0)) return false;
      }
      return Leader() >= 0;
    };
    world_.RunFor(std::chrono::seconds(3));
    if (!world_.RunUntil(equal, std::chrono::seconds(60))) return "replicas did not converge";
    return "";
  }
  size_t Length(size_t i) const { return nodes_[i].process->state_machine.commands().size(); }

 private:
  bool HasDiskOf(uint64_t replica_id) const {
    return std::any_of(nodes_.begin(), nodes_.end(),
                       [replica_id](const Node& node) { return node.id_on_disk == replica_id; });
  }

  std::shared_ptr<void> Boot(size_t i, runtime::Runtime* runtime) {
    ReplicaOptions options = options_;
    options.bootstrap_expect = nodes_.size();
    options.raft.target_voters = nodes_.size();
    options.raft.replace_unresponsive_after = std::chrono::seconds(15);
    options.snapshot_every_entries = 60;
    options.retained_entries = 20;
    options.log.segment_bytes = 4096;
    options.peers = [this] {
      std::vector<std::string> endpoints;
      for (const Node& node : nodes_) endpoints.push_back(node.host->internal_endpoint());
      return endpoints;
    };
    if (adjust_) adjust_(i, &options);
    const std::string name = nodes_[i].host->name();
    auto process = std::make_shared<Process>(runtime, options, name, &history_);
    process->replica.SetLeadershipListener([this, name](bool is_leader, uint64_t term) {
      if (is_leader) history_.OnLeader(name, term);
    });
    const absl::Status started = process->replica.Start();
    EXPECT_TRUE(started.ok()) << name << ": " << started;
    nodes_[i].id_on_disk = process->replica.Status().replica_id;
    nodes_[i].process = process.get();
    return std::shared_ptr<void>(process.get(), [this, i, process](void*) mutable {
      nodes_[i].process = nullptr;
      process.reset();
    });
  }

  int64_t NowNs() const { return runtime::ToNanoseconds(world_.Now()); }

  LogHistory history_;
  ReplicaOptions options_;
  const AdjustOptions adjust_;
  simulation::SimWorld world_;
  runtime::Random random_;
  std::vector<Node> nodes_;
  uint64_t next_command_ = 1;
  uint64_t proposed_ = 0;
  bool clients_stopped_ = false;
  std::function<void()> on_acknowledged_;
};

}  // namespace posthatch::consensus
