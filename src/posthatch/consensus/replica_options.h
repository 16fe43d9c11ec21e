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
  storage::LogWriterOptions log;  // its directory holds the snapshots too
  // How many unbootstrapped replicas form a new cluster. Must be the number of controllers that are
  // started for the first time; see docs/operations/controllers.md.
  size_t bootstrap_expect = 3;
  // Internal endpoints of the only replicas that may form a new cluster, the same on all; each of
  // them must take part in it. Empty: any replica may. Needed where the number of controllers is
  // not known.
  std::vector<std::string> bootstrap_voters;
  // Internal endpoints of the controllers known now; called while there is no leader.
  std::function<std::vector<std::string>()> peers;

  // A snapshot is taken after this many entries or bytes since the previous one.
  uint64_t snapshot_every_entries = 10'000;
  uint64_t snapshot_every_bytes = 32u << 20;
  // Entries before a snapshot that are kept for followers that lag, as far back as both allow.
  uint64_t retained_entries = 2'000;
  uint64_t retained_bytes = 8u << 20;
  // A leader whose disk syncs have a 95th percentile above `slow_sync_threshold` for
  // `slow_sync_min_duration` transfers leadership to a follower whose disk is at least twice as
  // fast.
  runtime::Duration slow_sync_threshold = std::chrono::milliseconds(250);
  runtime::Duration slow_sync_min_duration = std::chrono::seconds(2);
};

}  // namespace posthatch::consensus
