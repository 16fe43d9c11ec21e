#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace posthatch::consensus {

// The state that is replicated by a log. Must be deterministic: the same entries give the same
// state on every replica. Event loop thread only.
class StateMachine {
 public:
  virtual ~StateMachine() = default;
  // Applies the committed command at `index` and returns the result for the proposer. Indexes
  // ascend; each is applied once in the lifetime of the object.
  virtual std::string Apply(uint64_t index, uint64_t term, const std::string& command) = 0;
  // Returns the complete serialized state.
  virtual std::string TakeSnapshot() const = 0;
  // Replaces the complete state. After an error it may be incomplete, so the replica stops.
  virtual absl::Status RestoreSnapshot(const std::string& snapshot) = 0;
};

enum class ReplicaRole { kUnbootstrapped, kLearner, kFollower, kCandidate, kLeader };

// Interface of the replicated log of the controllers, implemented by RaftReplica.
// Event loop thread only.
class ReplicatedLog {
 public:
  // Receives the result of the state machine, or an error: FailedPrecondition (not leader: not
  // proposed, retry at leader_endpoint()), Unavailable or Aborted (leadership lost: the command may
  // still be committed), ResourceExhausted (too much in flight, or the disk is full: not proposed),
  // InvalidArgument (command too long: not proposed).
  using ProposeDone = std::function<void(absl::StatusOr<std::string>)>;
  using ReadDone = std::function<void(absl::Status)>;
  // Called with is_leader true when this replica leads `term` and has applied all entries of
  // earlier terms, and with is_leader false as soon as it no longer leads.
  using LeadershipListener = std::function<void(bool is_leader, uint64_t term)>;

  virtual ~ReplicatedLog() = default;
  virtual void Propose(std::string command, ProposeDone done) = 0;
  // Calls `done` with OK once the state machine reflects every command acknowledged before the
  // call (read index with a quorum check), or with an error as for Propose.
  virtual void ReadBarrier(ReadDone done) = 0;
  virtual bool IsLeader() const = 0;
  virtual uint64_t term() const = 0;
  virtual uint64_t applied_index() const = 0;
  virtual ReplicaRole role() const = 0;
  // Internal endpoint of the leader; empty if unknown.
  virtual std::string leader_endpoint() const = 0;
  virtual void SetLeadershipListener(LeadershipListener listener) = 0;
};

}  // namespace posthatch::consensus
