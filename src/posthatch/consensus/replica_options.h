#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "posthatch/consensus/raft_types.h"
#include "posthatch/runtime/clock.h"
#include "posthatch/storage/log_writer.h"

namespace posthatch::consensus {

// Settings of a RaftReplica.
struct ReplicaOptions {
  RaftOptions raft;
  storage::LogWriterOptions log;  // snapshots are stored in its directory too
  // Number of unbootstrapped replicas that form a new cluster. Must be the number of controllers
  // that are started for the first time; see docs/operations/controllers.md.
  size_t bootstrap_expect = 3;
  // Internal endpoints of the replicas that may form a new cluster, identical on all replicas; all
  // of them must take part. Empty: any replica may. Required if the number of controllers is not
  // known.
  std::vector<std::string> bootstrap_voters;
  // Returns the internal endpoints of the known controllers; called while there is no leader.
  std::function<std::vector<std::string>()> peers;

  // A snapshot is taken once this many entries or bytes were applied since the previous one.
  uint64_t snapshot_every_entries = 10'000;
  uint64_t snapshot_every_bytes = 32u << 20;
  // Entries before a snapshot that are kept for lagging followers, as far as both limits allow.
  uint64_t retained_entries = 2'000;
  uint64_t retained_bytes = 8u << 20;
  // A leader whose disk syncs have a 95th percentile above `slow_sync_threshold` for
  // `slow_sync_min_duration` transfers leadership to a follower whose disk is at least twice as
  // fast.
  runtime::Duration slow_sync_threshold = std::chrono::milliseconds(250);
  runtime::Duration slow_sync_min_duration = std::chrono::seconds(2);
};

}  // namespace posthatch::consensus
