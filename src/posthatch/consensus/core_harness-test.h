#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "posthatch/consensus/cluster_configuration.h"
#include "posthatch/consensus/raft_core.h"

namespace posthatch::consensus {

// Runs RaftCores in virtual time, with message delivery and disks controlled by the test.
class CoreHarness {
 public:
  struct Node {
    std::unique_ptr<RaftCore> core;
    bool up = true;
    bool disk_blocked = false;
    std::deque<Ready> unsynced;  // batches handed to the disk and not yet synced, oldest first
    storage::HardState hard_state;
    std::vector<storage::LogEntry> entries;  // durable entries
    std::vector<storage::LogEntry> applied;
    std::vector<uint64_t> reads;
  };

  explicit CoreHarness(size_t size, RaftOptions options = {}) : options_(options), random_(7) {
    ClusterConfiguration configuration;
    configuration.set_cluster_id(99);
    for (uint64_t id = 1; id <= size; ++id) {
      *configuration.add_members() = NewMember(id, true);
    }
    storage::LogEntry first;
    first.set_index(1);
    first.set_term(1);
    first.set_type(storage::LogEntry::CONFIGURATION);
    first.set_data(configuration.SerializeAsString());
    for (uint64_t id = 1; id <= size; ++id) {
      nodes_[id].hard_state.set_term(1);
      nodes_[id].entries = {first};
      Boot(id);
    }
  }

  static Member NewMember(uint64_t id, bool voter) {
    Member member;
    member.set_replica_id(id);
    member.set_endpoint("host" + std::to_string(id));
    member.set_voter(voter);
    return member;
  }

  void AddUnbootstrapped(uint64_t id) { Boot(id); }

  // Starts node `id` from its durable state.
  void Boot(uint64_t id) {
    Node& node = nodes_[id];
    node.hard_state.set_replica_id(id);
    node.hard_state.set_boot_count(node.hard_state.boot_count() + 1);
    node.unsynced.clear();
    node.applied.clear();
    node.up = true;
    RecoveredState recovered;
    recovered.hard_state = node.hard_state;
    recovered.entries = node.entries;
    recovered.endpoint = "host" + std::to_string(id);
    node.core = std::make_unique<RaftCore>(options_, &random_, recovered, now_);
  }

  RaftCore& core(uint64_t id) { return *nodes_.at(id).core; }
  Node& node(uint64_t id) { return nodes_.at(id); }
  runtime::MonotonicTime now() const { return now_; }
  void JumpClock(runtime::Duration by) { now_ += by; }
  void Partition(uint64_t from, uint64_t to) { partitions_.insert({from, to}); }
  void Isolate(uint64_t id) {
    for (const auto& [other, node] : nodes_) {
      Partition(id, other);
      Partition(other, id);
    }
  }
  void HealAll() { partitions_.clear(); }
  std::vector<std::pair<uint64_t, RaftMessage>>& sent() { return sent_; }

  void Run(runtime::Duration duration) {
    const runtime::MonotonicTime end = now_ + duration;
    while (now_ < end) {
      now_ += std::chrono::milliseconds(5);
      for (auto& [id, node] : nodes_) {
        if (node.up) node.core->Tick(now_);
      }
      RunUntilQuiescent();
    }
  }

  // Delivers messages and completes syncs until no work is left, without advancing the clock.
  void RunUntilQuiescent() {
    bool progressed = true;
    while (progressed) {
      progressed = false;
      for (auto& [id, node] : nodes_) progressed = Drive(id, &node) || progressed;
    }
  }

  uint64_t Leader() {
    uint64_t leader = 0;
    for (auto& [id, node] : nodes_) {
      const bool newer = leader == 0 || node.core->term() > core(leader).term();
      if (node.up && node.core->IsLeader() && newer) leader = id;
    }
    return leader;
  }

  uint64_t RunUntilLeader() {
    for (int i = 0; i < 2000 && (Leader() == 0 || !core(Leader()).CurrentTermCommitted()); ++i) {
      Run(std::chrono::milliseconds(5));
    }
    return Leader();
  }

  // Ids of the two nodes other than `leader` in a cluster of three.
  static std::pair<uint64_t, uint64_t> Others(uint64_t leader) {
    return {leader == 1 ? 2 : 1, leader == 3 ? 2 : 3};
  }

 private:
  bool Drive(uint64_t id, Node* node) {
    if (!node->up) return false;
    bool progressed = false;
    while (node->core->HasReady(now_)) {
      progressed = true;
      Ready ready = node->core->TakeReady(now_);
      for (OutgoingMessage& out : ready.messages) Deliver(id, std::move(out.message));
      node->applied.insert(node->applied.end(), ready.committed.begin(), ready.committed.end());
      node->reads.insert(node->reads.end(), ready.reads.begin(), ready.reads.end());
      if (ready.persist_id != 0) node->unsynced.push_back(std::move(ready));
    }
    while (!node->disk_blocked && !node->unsynced.empty()) {
      progressed = true;
      const Ready ready = std::move(node->unsynced.front());
      node->unsynced.pop_front();
      if (ready.hard_state.has_value()) node->hard_state = *ready.hard_state;
      for (const storage::LogEntry& entry : ready.entries) {
        node->entries.resize(entry.index() - 1);
        node->entries.push_back(entry);
      }
      node->core->OnPersisted(ready.persist_id, now_);
    }
    while (!inbox_[id].empty()) {
      progressed = true;
      const RaftMessage message = std::move(inbox_[id].front());
      inbox_[id].pop_front();
      node->core->Step(message, now_);
    }
    return progressed;
  }

  void Deliver(uint64_t from, RaftMessage message) {
    sent_.emplace_back(from, message);
    const uint64_t to = message.to();
    if (partitions_.count({from, to}) > 0 || nodes_.count(to) == 0 || !nodes_[to].up) return;
    inbox_[to].push_back(std::move(message));
  }

  const RaftOptions options_;
  runtime::Random random_;
  runtime::MonotonicTime now_{std::chrono::hours(1)};
  std::map<uint64_t, Node> nodes_;
  std::map<uint64_t, std::deque<RaftMessage>> inbox_;
  std::set<std::pair<uint64_t, uint64_t>> partitions_;
  std::vector<std::pair<uint64_t, RaftMessage>> sent_;
};

}  // namespace posthatch::consensus
