#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "posthatch/consensus/raft_core.h"
#include "posthatch/consensus/replicated_log.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::consensus {

// State of a replica at one point in time, for operators.
struct ReplicaStatus {
  struct MemberStatus {
    uint64_t replica_id = 0;
    std::string endpoint;
    bool voter = false;
    uint64_t match_index = 0;                  // leader only
    runtime::Duration since_last_response{0};  // leader only
  };
  uint64_t replica_id = 0;
  uint64_t cluster_id = 0;
  ReplicaRole role = ReplicaRole::kUnbootstrapped;
  uint64_t term = 0;
  uint64_t leader_id = 0;       // 0 if unknown
  std::string leader_endpoint;  // empty if unknown
  std::vector<MemberStatus> members;
  uint64_t first_index = 0;
  uint64_t last_index = 0;
  uint64_t durable_index = 0;
  uint64_t commit_index = 0;
  uint64_t applied_index = 0;
  uint64_t snapshot_index = 0;
  uint64_t log_segments = 0;
  runtime::Duration disk_sync_p95{0};
  bool disk_full = false;
  absl::Status failure;  // not OK: this replica has stopped permanently
};

// Fills the fields known to RaftCore: identity, role, membership and log indexes.
ReplicaStatus StatusOf(const RaftCore& core, runtime::MonotonicTime now);

}  // namespace posthatch::consensus
