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
  // A follower that has heard nothing from a leader for a random time between these stands for
  // election. The shorter one is also how long a leader's majority is good for, and how long a
  // voter that has heard from a leader refuses to vote.
  runtime::Duration election_timeout_min = std::chrono::milliseconds(800);
  runtime::Duration election_timeout_max = std::chrono::milliseconds(1400);
  // The same for a replica that has restarted and has heard of no leader since: after a crash of
  // the whole cluster nobody needs to be waited for.
  runtime::Duration restart_election_timeout_min = std::chrono::milliseconds(60);
  runtime::Duration restart_election_timeout_max = std::chrono::milliseconds(200);

  size_t max_command_bytes = 8u << 20;    // a longer one is refused: no message could carry it
  size_t max_append_bytes = 256u << 10;   // entries in one message, but for the last of them
  size_t max_in_flight_appends = 64;      // messages with entries, unanswered, for one follower
  size_t max_uncommitted_entries = 8192;  // beyond it proposals are refused
  size_t max_uncommitted_bytes = 32u << 20;
  size_t max_apply_bytes = 4u << 20;  // committed entries handed out at once
  size_t snapshot_chunk_bytes = 512u << 10;

  size_t target_voters = 3;
  size_t max_learners = 8;
  // A voter silent for this long is replaced when a learner has caught up; a learner silent for
  // this long is removed.
  runtime::Duration replace_unresponsive_after = std::chrono::seconds(30);
  // A learner is promoted only when it lacks no more than this many entries.
  uint64_t max_promotion_lag = 256;
};

// How much of the log before a snapshot is kept for followers that lag: as far back as both allow.
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

// What the owner of a RaftCore has to do next. In this order: start persisting, send, apply, answer
// reads.
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
  // Reads that may be answered once `committed` is applied.
  std::vector<uint64_t> reads;
};

// What the leader knows of another member.
struct Progress {
  enum class Mode {
    kProbe,      // looking for where the logs meet: one message at a time
    kReplicate,  // entries are sent ahead of the answers
    kSnapshot,   // the log no longer reaches back far enough
  };
  Mode mode = Mode::kProbe;
  uint64_t match = 0;  // durable at the member
  uint64_t next = 1;
  bool probe_sent = false;
  std::deque<uint64_t> in_flight;  // last index of each unanswered message with entries
  // When the newest message that the member has answered was sent; by that time it had this leader.
  std::optional<runtime::MonotonicTime> last_contact;
  // Since when it is silent: the time of its last answer, or of the start of this leader's term.
  runtime::MonotonicTime last_response_at;
  uint64_t read_sequence = 0;
  uint64_t sync_p95_us = 0;
  std::shared_ptr<const storage::Snapshot> snapshot;  // being sent
  uint64_t snapshot_offset = 0;
  runtime::MonotonicTime chunk_sent_at;
};

}  // namespace posthatch::consensus
