#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "posthatch/consensus/consensus.pb.h"
#include "posthatch/runtime/clock.h"
#include "posthatch/storage/log_record.pb.h"
#include "posthatch/storage/snapshot_file.h"

namespace posthatch::consensus {

// Settings of the Raft algorithm. Durations are measured by the monotonic clock.
struct RaftOptions {
  runtime::Duration heartbeat_interval = std::chrono::milliseconds(100);
  // A follower starts an election when no leader has contacted it for a random time between these.
  // The minimum is also the leader lease: how long a leader may rely on the responses of a
  // majority, and how long a voter refuses to vote after contact with a leader.
  runtime::Duration election_timeout_min = std::chrono::milliseconds(800);
  runtime::Duration election_timeout_max = std::chrono::milliseconds(1400);
  // Election timeouts of a replica that no leader has contacted since its restart: after a crash of
  // the whole cluster there is no leader to wait for.
  runtime::Duration restart_election_timeout_min = std::chrono::milliseconds(60);
  runtime::Duration restart_election_timeout_max = std::chrono::milliseconds(200);

  size_t max_command_bytes = 8u << 20;    // a longer one is rejected: it would not fit in a message
  size_t max_append_bytes = 256u << 10;   // entries in one message; the last may exceed it
  size_t max_in_flight_appends = 64;      // unacknowledged messages with entries, per follower
  size_t max_uncommitted_entries = 8192;  // proposals beyond it are rejected
  size_t max_uncommitted_bytes = 32u << 20;
  size_t max_apply_bytes = 4u << 20;  // committed entries in one Ready
  size_t snapshot_chunk_bytes = 512u << 10;

  size_t target_voters = 3;
  size_t max_learners = 8;
  // A voter that has not responded for this long is replaced once a learner has caught up; a
  // learner that has not responded for this long is removed.
  runtime::Duration replace_unresponsive_after = std::chrono::seconds(30);
  // A learner is promoted only if its log lags by at most this many entries.
  uint64_t max_promotion_lag = 256;
};

// How much of the log before a snapshot is kept for lagging followers, as far as both limits allow.
struct LogRetention {
  uint64_t entries = 2'000;
  uint64_t bytes = 8u << 20;
};

// Durable state and endpoint that a replica starts from.
struct RecoveredState {
  storage::HardState hard_state;
  uint64_t base_index = 0;
  uint64_t base_term = 0;
  std::vector<storage::LogEntry> entries;
  std::shared_ptr<const storage::Snapshot> snapshot;  // null if none
  std::string endpoint;                               // internal endpoint of this replica
};

struct OutgoingMessage {
  std::string endpoint;
  RaftMessage message;
};

// Work for the owner of a RaftCore, to be done in this order: start persisting, send messages,
// apply committed entries, complete reads.
struct Ready {
  // Non-zero if there is anything to persist: `reset`, `entries` and `hard_state` in one batch.
  // Once the batch is durable, the owner calls RaftCore::OnPersisted with this id, in order of ids.
  uint64_t persist_id = 0;
  std::optional<storage::LogReset> reset;
  std::vector<storage::LogEntry> entries;
  std::optional<storage::HardState> hard_state;
  // Snapshot to make durable, restore into the state machine and report to OnSnapshotInstalled.
  std::shared_ptr<const storage::Snapshot> install;
  std::vector<OutgoingMessage> messages;
  std::vector<storage::LogEntry> committed;
  // Ids of the reads that may be completed once `committed` is applied.
  std::vector<uint64_t> reads;
};

// The leader's view of the replication to another member.
struct Progress {
  enum class Mode {
    kProbe,      // searching for the last common entry, one message at a time
    kReplicate,  // entries are pipelined: sent before earlier ones are acknowledged
    kSnapshot,   // a snapshot is being sent, since the entries it needs were compacted
  };
  Mode mode = Mode::kProbe;
  uint64_t match = 0;  // highest index known to be durable at the member
  uint64_t next = 1;
  bool probe_sent = false;
  std::deque<uint64_t> in_flight;  // last entry index of each unacknowledged message with entries
  // Send time of the newest message that the member has responded to: its part of the leader lease
  // counts from then.
  std::optional<runtime::MonotonicTime> last_contact;
  // When the member last responded; initially when this entry was created.
  runtime::MonotonicTime last_response_at;
  uint64_t read_sequence = 0;
  uint64_t sync_p95_us = 0;
  std::shared_ptr<const storage::Snapshot> snapshot;  // snapshot being sent
  uint64_t snapshot_offset = 0;
  runtime::MonotonicTime chunk_sent_at;
};

}  // namespace posthatch::consensus
