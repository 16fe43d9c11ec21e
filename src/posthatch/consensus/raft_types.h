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

// Settings of the algorithm. Times are by the monotonic clock.
struct RaftOptions {
  runtime::Duration heartbeat_interval = std::chrono::milliseconds(100);
  // A follower that no leader has contacted for a random time between these stands for election.
  // The shorter one is also the leader lease: how long a leader may rely on the responses of a
  // majority, and how long a voter that a leader has contacted refuses to vote.
  runtime::Duration election_timeout_min = std::chrono::milliseconds(800);
  runtime::Duration election_timeout_max = std::chrono::milliseconds(1400);
  // The same for a replica that has restarted and that no leader has contacted since: after a crash
  // of the whole cluster there is no leader to wait for.
  runtime::Duration restart_election_timeout_min = std::chrono::milliseconds(60);
  runtime::Duration restart_election_timeout_max = std::chrono::milliseconds(200);

  size_t max_command_bytes = 8u << 20;    // a longer one is rejected: no message could carry it
  size_t max_append_bytes = 256u << 10;   // entries in one message, without the last of them
  size_t max_in_flight_appends = 64;      // unacknowledged messages with entries, per follower
  size_t max_uncommitted_entries = 8192;  // beyond it proposals are rejected
  size_t max_uncommitted_bytes = 32u << 20;
  size_t max_apply_bytes = 4u << 20;  // committed entries handed out at once
  size_t snapshot_chunk_bytes = 512u << 10;

  size_t target_voters = 3;
  size_t max_learners = 8;
  // A voter that has not responded for this long is replaced once a learner has caught up; a
  // learner that has not is removed.
  runtime::Duration replace_unresponsive_after = std::chrono::seconds(30);
  // A learner is promoted only if it is at most this many entries behind.
  uint64_t max_promotion_lag = 256;
};

// How much of the log before a snapshot is kept for followers that lag: as far back as both limits
// allow.
struct LogRetention {
  uint64_t entries = 2'000;
  uint64_t bytes = 8u << 20;
};

// What a replica starts with.
struct RecoveredState {
  storage::HardState hard_state;
  uint64_t base_index = 0;
  uint64_t base_term = 0;
  std::vector<storage::LogEntry> entries;
  std::shared_ptr<const storage::Snapshot> snapshot;  // null if none
  std::string endpoint;                               // this replica's own
};

struct OutgoingMessage {
  std::string endpoint;
  RaftMessage message;
};

// What the owner of a RaftCore has to do next, in this order: start persisting, send, apply,
// complete reads.
struct Ready {
  // Non-zero if there is anything to persist: `reset`, `entries` and `hard_state` in one batch.
  // When it is durable, RaftCore::OnPersisted is called with it; ids complete in order.
  uint64_t persist_id = 0;
  std::optional<storage::LogReset> reset;
  std::vector<storage::LogEntry> entries;
  std::optional<storage::HardState> hard_state;
  // To be made durable, restored into the state machine, and reported by OnSnapshotInstalled.
  std::shared_ptr<const storage::Snapshot> install;
  std::vector<OutgoingMessage> messages;
  std::vector<storage::LogEntry> committed;
  // Reads that may be completed once `committed` is applied.
  std::vector<uint64_t> reads;
};

// What the leader knows about another member.
struct Progress {
  enum class Mode {
    kProbe,      // looking for the last common entry: one message at a time
    kReplicate,  // entries are sent before earlier ones are acknowledged
    kSnapshot,   // the entries that it needs are compacted away
  };
  Mode mode = Mode::kProbe;
  uint64_t match = 0;  // durable at the member
  uint64_t next = 1;
  bool probe_sent = false;
  std::deque<uint64_t> in_flight;  // last index of each unacknowledged message with entries
  // When the newest message that the member has responded to was sent: since then it has had this
  // leader.
  std::optional<runtime::MonotonicTime> last_contact;
  // When it last responded; the start of this leader's term if it has not yet.
  runtime::MonotonicTime last_response_at;
  uint64_t read_sequence = 0;
  uint64_t sync_p95_us = 0;
  std::shared_ptr<const storage::Snapshot> snapshot;  // being sent
  uint64_t snapshot_offset = 0;
  runtime::MonotonicTime chunk_sent_at;
};

}  // namespace posthatch::consensus
