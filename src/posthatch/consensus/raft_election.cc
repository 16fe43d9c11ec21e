// Elections, quorum check and leadership transfer.
#include "posthatch/consensus/cluster_configuration.h"
#include "posthatch/consensus/raft_core.h"

namespace posthatch::consensus {

using runtime::MonotonicTime;

namespace {

// The leader lease is the shortest election timeout reduced by 1/kClockRateMarginDivisor, since
// clocks may run at different rates.
constexpr int kClockRateMarginDivisor = 10;

}  // namespace

void RaftCore::ResetElectionTimer(MonotonicTime now) {
  const bool just_restarted =
      leader_contact_assumed_ && now - *leader_contact_at_ < options_.election_timeout_min;
  election_deadline_ =
      now + (just_restarted
                 ? random_->Between(options_.restart_election_timeout_min,
                                    options_.restart_election_timeout_max)
                 : random_->Between(options_.election_timeout_min, options_.election_timeout_max));
}

void RaftCore::PostponeElection(MonotonicTime now) {
  election_deadline_ = std::max(
      election_deadline_,
      now + random_->Between(options_.heartbeat_interval, 3 * options_.heartbeat_interval));
}

void RaftCore::BecomeFollower(uint64_t term, uint64_t leader, MonotonicTime now) {
  if (term > this->term()) {
    SetHardState(term, 0);
    verified_index_ = commit_index_;
  }
  if (role_ == Role::kLeader) ResetElectionTimer(now);
  role_ = Role::kFollower;
  leader_id_ = leader;
  votes_.clear();
  reads_.clear();
  transfer_target_ = 0;
  progress_.clear();
  pending_joins_.clear();
  replaced_while_unresponsive_.clear();
}

void RaftCore::BecomeLeader(MonotonicTime now) {
  role_ = Role::kLeader;
  leader_id_ = replica_id();
  leader_since_ = now;
  ran_without_quorum_for_ = runtime::Duration::zero();
  next_heartbeat_ = now;
  last_heartbeat_ = now;
  commit_at_last_heartbeat_ = commit_index_;
  read_sequence_ = 0;
  progress_.clear();
  RefreshProgress(now);
  uncommitted_bytes_ = 0;
  for (uint64_t index = commit_index_ + 1; index <= log_.last_index(); ++index) {
    uncommitted_bytes_ += log_.Entry(index).data().size();
  }
  // Entries of earlier terms are committed only through one of this term (section 3.6.2).
  storage::LogEntry entry;
  entry.set_index(log_.last_index() + 1);
  entry.set_term(term());
  entry.set_type(storage::LogEntry::NO_OP);
  term_start_index_ = entry.index();
  AppendToLog(std::move(entry));
}

bool RaftCore::HasQuorum(MonotonicTime now) const {
  if (!IsLeader()) return false;
  const MonotonicTime since =
      now - options_.election_timeout_min + options_.election_timeout_min / kClockRateMarginDivisor;
  return MajorityHas(configuration(), [this, since](uint64_t id) {
    if (id == replica_id()) return true;
    const auto found = progress_.find(id);
    return found != progress_.end() && found->second.last_contact.has_value() &&
           *found->second.last_contact > since;
  });
}

bool RaftCore::HasLostQuorum(MonotonicTime now) const {
  return now - leader_since_ >= options_.election_timeout_min && !HasQuorum(now);
}

// After contact with a leader a voter refuses to vote for the shortest election timeout: the leader
// relies on this (HasQuorum), and replicas with bad links can't depose it (section 4.2.3).
bool RaftCore::MustRefuseVotes(MonotonicTime now) const {
  if (IsLeader()) return now - leader_since_ < options_.election_timeout_min || HasQuorum(now);
  if (leader_contact_assumed_ && AllOthersKnownNotLeading()) return false;
  return leader_contact_at_.has_value() &&
         now - *leader_contact_at_ < options_.election_timeout_min;
}

// Messages from one sender are delivered in order. A vote request received after this replica's
// restart was sent when its sender no longer led, so the sender holds no lease from before the
// restart. Learners count too: an entry that this replica does not have yet may have made one a
// voter, and it may lead.
bool RaftCore::AllOthersKnownNotLeading() const {
  for (const Member& member : configuration().members()) {
    const uint64_t id = member.replica_id();
    if (id != replica_id() && !known_non_leaders_.contains(id)) return false;
  }
  return true;
}

void RaftCore::StartPreVote(MonotonicTime now) {
  ResetElectionTimer(now);
  role_ = Role::kPreCandidate;
  leader_id_ = 0;
  votes_ = {replica_id()};
  RequestVotes(/*pre_vote=*/true, /*transfer=*/false);
  CountVotes(now);
}

void RaftCore::StartElection(bool transfer, MonotonicTime now) {
  ResetElectionTimer(now);
  SetHardState(term() + 1, replica_id());
  verified_index_ = commit_index_;
  self_vote_persist_id_ = next_persist_id_;
  role_ = Role::kCandidate;
  leader_id_ = 0;
  votes_.clear();
  RequestVotes(/*pre_vote=*/false, transfer);
}

void RaftCore::RequestVotes(bool pre_vote, bool transfer) {
  for (const Member& member : configuration().members()) {
    if (!member.voter() || member.replica_id() == replica_id()) continue;
    RaftMessage message = NewMessage(member.replica_id());
    message.set_term(pre_vote ? term() + 1 : term());
    VoteRequest* request = message.mutable_vote_request();
    request->set_pre_vote(pre_vote);
    request->set_last_index(log_.last_index());
    request->set_last_term(log_.last_term());
    request->set_leadership_transfer(transfer);
    // The candidate's own vote must be durable before any other replica receives a request.
    pre_vote ? Send(std::move(message)) : SendWhenDurable(std::move(message));
  }
}

void RaftCore::CountVotes(MonotonicTime now) {
  if (role_ == Role::kCandidate && durable_persist_id_ >= self_vote_persist_id_) {
    votes_.insert(replica_id());
  }
  if (!MajorityHas(configuration(), [this](uint64_t id) { return votes_.count(id) > 0; })) return;
  if (role_ == Role::kPreCandidate) {
    StartElection(/*transfer=*/false, now);
  } else if (role_ == Role::kCandidate) {
    BecomeLeader(now);
  }
}

void RaftCore::HandleVoteRequest(const RaftMessage& message, MonotonicTime now) {
  const VoteRequest& request = message.vote_request();
  const bool log_is_up_to_date =
      request.last_term() > log_.last_term() ||
      (request.last_term() == log_.last_term() && request.last_index() >= log_.last_index());
  bool granted = log_is_up_to_date && (request.leadership_transfer() || !MustRefuseVotes(now));
  if (request.pre_vote()) {
    granted = granted && message.term() > term();
  } else {
    granted = granted && (hard_state_.vote() == 0 || hard_state_.vote() == message.from());
  }
  RaftMessage reply = NewMessage(message.from());
  VoteResponse* response = reply.mutable_vote_response();
  response->set_pre_vote(request.pre_vote());
  response->set_granted(granted);
  response->set_request_term(message.term());
  if (!granted || request.pre_vote()) {
    if (granted) reply.set_term(message.term());
    return Send(std::move(reply));
  }
  SetHardState(term(), message.from());
  ResetElectionTimer(now);
  SendWhenDurable(std::move(reply));
}

void RaftCore::HandleVoteResponse(const RaftMessage& message, MonotonicTime now) {
  const VoteResponse& response = message.vote_response();
  if (!response.granted()) return;
  const bool expected = response.pre_vote()
                            ? role_ == Role::kPreCandidate && response.request_term() == term() + 1
                            : role_ == Role::kCandidate && response.request_term() == term();
  if (!expected) return;
  votes_.insert(message.from());
  CountVotes(now);
}

// Leadership transfer.

bool RaftCore::TransferLeadership(uint64_t max_sync_p95_us, MonotonicTime now) {
  if (!IsLeader() || transfer_target_ != 0) return false;
  uint64_t best_match = 0;
  for (const auto& [id, progress] : progress_) {
    const bool alive = progress.last_contact.has_value() &&
                       now - *progress.last_contact < options_.election_timeout_min;
    if (!alive || !IsVoter(configuration(), id) || progress.mode != Progress::Mode::kReplicate ||
        progress.sync_p95_us > max_sync_p95_us) {
      continue;
    }
    if (transfer_target_ == 0 || progress.match > best_match) {
      transfer_target_ = id;
      best_match = progress.match;
    }
  }
  if (transfer_target_ == 0) return false;
  transfer_deadline_ = now + options_.election_timeout_min;
  AdvanceTransfer(now);
  return true;
}

// Completes the transfer once the target has the complete log. The leader steps down as it sends
// TimeoutNow: the target's election overrides the voters' refusal to vote, so the lease ends here.
void RaftCore::AdvanceTransfer(MonotonicTime now) {
  if (transfer_target_ == 0) return;
  const auto found = progress_.find(transfer_target_);
  if (found == progress_.end() || now >= transfer_deadline_) {
    transfer_target_ = 0;
    return;
  }
  if (found->second.match != log_.last_index() || commit_index_ != log_.last_index()) return;
  RaftMessage message = NewMessage(transfer_target_);
  message.mutable_timeout_now();
  Send(std::move(message));
  BecomeFollower(term(), 0, now);
}

void RaftCore::HandleTimeoutNow(const RaftMessage& message, MonotonicTime now) {
  const bool from_leader = role_ == Role::kFollower && leader_id_ == message.from();
  if (from_leader && IsVoter(configuration(), replica_id())) StartElection(/*transfer=*/true, now);
}

}  // namespace posthatch::consensus
