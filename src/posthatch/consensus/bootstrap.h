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

struct BootstrapOptions {
  // Number of unbootstrapped replicas that form a cluster together; 0: this one never forms one.
  size_t expect = 3;
  // Internal endpoints of the replicas that may form a cluster, identical on all replicas; all of
  // them must take part. Empty: any replica may, and `expect` must be the total number of replicas.
  std::vector<std::string> bootstrap_voters;
  // Number of replicas, lowest replica ids first, that become voters; the others become learners.
  size_t target_voters = 3;
  // Internal endpoints of the discovered replicas; contacted while there is no leader.
  std::function<std::vector<std::string>()> peers;
};

// Lets a replica without a known leader find its cluster, or form one with other unbootstrapped
// replicas. It sends Hello messages to the endpoints from discovery and from the last
// configuration. docs/design-docs/consensus.md has the rules and shows why two clusters can't both
// commit entries. Owned by RaftReplica; not thread-safe.
class Bootstrap {
 public:
  // The pointers must outlive this object.
  Bootstrap(RaftCore* core, runtime::Random* random, BootstrapOptions options);

  void Tick(runtime::MonotonicTime now);
  void OnHello(const RaftMessage& message, runtime::MonotonicTime now);
  std::vector<OutgoingMessage> TakeMessages();

 private:
  struct Peer {
    std::string endpoint;
    uint64_t boot_count = 0;
    bool unbootstrapped = false;
    std::set<uint64_t> unbootstrapped_peers;
    runtime::MonotonicTime last_received_at;
  };

  void SendHello(const std::string& endpoint, uint64_t to, bool is_response,
                 runtime::MonotonicTime now);
  void SendHellos(runtime::MonotonicTime now);
  void RecordPeer(const RaftMessage& message, runtime::MonotonicTime now);
  void RequestJoin(const Hello& hello, runtime::MonotonicTime now);
  void TryBootstrap(runtime::MonotonicTime now);
  // Whether this replica is the one to form a cluster of `participants`.
  bool ShouldBootstrap(const std::set<uint64_t>& participants) const;
  // The members of `participants` that may form a cluster: all, or only the bootstrap voters.
  std::set<uint64_t> EligibleParticipants(const std::set<uint64_t>& participants) const;
  void BootstrapCluster(const std::set<uint64_t>& participants, runtime::MonotonicTime now);
  std::set<uint64_t> VisibleUnbootstrappedPeers(runtime::MonotonicTime now) const;

  RaftCore* const core_;
  runtime::Random* const random_;
  const BootstrapOptions options_;
  std::map<uint64_t, Peer> known_peers_;
  std::vector<OutgoingMessage> outbox_;
  runtime::MonotonicTime next_hello_;
  runtime::MonotonicTime next_join_;
  uint64_t hello_rounds_ = 0;
};

}  // namespace posthatch::consensus
