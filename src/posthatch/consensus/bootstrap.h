#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "posthatch/consensus/raft_core.h"
#include "posthatch/runtime/random.h"

namespace posthatch::consensus {

// How a replica that knows no leader finds its cluster, or forms one with other fresh replicas:
// Hello messages to the endpoints that discovery and the last configuration name. Rules and the
// argument that two clusters can't both commit anything: docs/design-docs/consensus.md.
// Owned by RaftReplica; not thread-safe.
class Bootstrap {
 public:
  using Peers = std::function<std::vector<std::string>()>;

  // A cluster is formed by `expect` or more replicas, of which the first `target_voters` by id
  // become voters; with `expect` 0 this one never forms any. All pointers must outlive this object.
  Bootstrap(RaftCore* core, runtime::Random* random, size_t expect, size_t target_voters,
            Peers peers);

  void Tick(runtime::MonotonicTime now);
  void OnHello(const RaftMessage& message, runtime::MonotonicTime now);
  std::vector<OutgoingMessage> TakeMessages();

 private:
  struct Peer {
    std::string endpoint;
    uint64_t boot_count = 0;
    bool fresh = false;
    std::set<uint64_t> fresh_seen;
    runtime::MonotonicTime heard_at;
  };

  void SendHello(const std::string& endpoint, uint64_t to, bool answer, runtime::MonotonicTime now);
  void SendHellos(runtime::MonotonicTime now);
  void NotePeer(const RaftMessage& message, runtime::MonotonicTime now);
  void AskToJoin(const Hello& hello, runtime::MonotonicTime now);
  void TryToForm(runtime::MonotonicTime now);
  std::set<uint64_t> FreshSeen(runtime::MonotonicTime now) const;

  RaftCore* const core_;
  runtime::Random* const random_;
  const size_t expect_;
  const size_t target_voters_;
  const Peers peers_;
  std::map<uint64_t, Peer> known_;
  std::vector<OutgoingMessage> outbox_;
  runtime::MonotonicTime next_hello_;
  runtime::MonotonicTime next_join_;
  uint64_t rounds_ = 0;
};

}  // namespace posthatch::consensus
