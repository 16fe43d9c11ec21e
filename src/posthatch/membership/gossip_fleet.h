#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "posthatch/membership/gossip_membership.h"
#include "posthatch/simulation/sim_world.h"

namespace posthatch::membership {

// A simulated fleet of processes that run nothing but GossipMembership, for tests and
// membership-bench. Node i is host "n<i>"; the first three are the seeds of all nodes.
class GossipFleet {
 public:
  // A listener's report that some member is dead while its process was running.
  struct FalseDeath {
    size_t observer;
    std::string member;
    runtime::MonotonicTime time;
  };

  GossipFleet(simulation::SimWorld* world, size_t size, GossipOptions options = {});
  // Crashes all hosts of the fleet.
  ~GossipFleet();
  GossipFleet(const GossipFleet&) = delete;
  GossipFleet& operator=(const GossipFleet&) = delete;

  // Adds and starts a node with the usual seeds, and returns its number.
  size_t Add() { return AddWithSeeds(seeds_); }
  size_t AddWithSeeds(std::vector<std::string> seeds);

  size_t size() const { return nodes_.size(); }
  simulation::SimHost* host(size_t node) const { return nodes_[node].host; }
  // Null while the process isn't running.
  GossipMembership* membership(size_t node) const { return nodes_[node].process; }
  // Payload bytes sent by all nodes, previous incarnations included.
  uint64_t sent_bytes() const;
  uint64_t sent_datagrams() const;

  // State of `member` as reported by `observer`; kLeft if the observer doesn't know the member or
  // isn't running.
  MemberState StateSeen(size_t observer, size_t member) const;
  // Whether every running node reports all running nodes and no others.
  bool Converged() const;
  // Runs the world until Converged, checked every 250 ms; false if `limit` passes.
  bool RunUntilConverged(runtime::Duration limit);
  // Runs the world until every running node has ceased to report `member`.
  bool RunUntilGone(size_t member, runtime::Duration limit);

  const std::vector<FalseDeath>& false_deaths() const { return false_deaths_; }
  // Number of reports that a running process is suspected.
  uint64_t false_suspicions() const { return false_suspicions_; }
  void ClearFalseDeaths() {
    false_deaths_.clear();
    false_suspicions_ = 0;
  }

 private:
  struct Node {
    simulation::SimHost* host;
    std::vector<std::string> seeds;
    GossipMembership* process = nullptr;
    // Sums over processes that have ended.
    uint64_t ended_bytes = 0;
    uint64_t ended_datagrams = 0;
  };
  class Process;
  struct Counts {
    uint64_t bytes;
    uint64_t datagrams;
  };

  std::shared_ptr<void> Boot(size_t node, runtime::Runtime* runtime);
  static Counts CountsOf(runtime::Runtime* runtime);
  bool SeesAllRunning(size_t observer) const;

  simulation::SimWorld* const world_;
  const GossipOptions options_;
  std::vector<std::string> seeds_;
  std::vector<Node> nodes_;
  std::vector<FalseDeath> false_deaths_;
  uint64_t false_suspicions_ = 0;
};

}  // namespace posthatch::membership
