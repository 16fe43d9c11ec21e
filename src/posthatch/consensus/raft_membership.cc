// Membership: single-server changes (dissertation, section 4.1), learners, automatic replacement.
// At most one change is in flight, and none before the leader has committed an entry of its term.
// docs/design-docs/consensus.md has the order of a replacement and shows why no committed entry is
// lost.
#include <algorithm>

#include "posthatch/consensus/cluster_configuration.h"
#include "posthatch/consensus/raft_core.h"

namespace posthatch::consensus {

using runtime::MonotonicTime;

void RaftCore::AdoptConfiguration(uint64_t index, const ClusterConfiguration& configuration) {
  configurations_.push_back({index, configuration});
  for (const Member& member : configuration.members()) {
    if (member.replica_id() == replica_id()) continue;
    const ReplicaAddress* known = addresses_.Find(member.replica_id());
    if (known == nullptr || known->boot_count < member.boot_count()) {
      addresses_.Set(member.replica_id(), {member.endpoint(), member.boot_count()});
    }
  }
}

// Adds and removes entries of `progress_` to match the configuration in force.
void RaftCore::RefreshProgress(MonotonicTime now) {
  for (const Member& member : configuration().members()) {
    if (member.replica_id() == replica_id() || progress_.count(member.replica_id()) > 0) continue;
    Progress progress;
    progress.next = log_.last_index() + 1;
    progress.last_response_at = now;
    progress_.emplace(member.replica_id(), progress);
  }
  for (auto it = progress_.begin(); it != progress_.end();) {
    it = FindMember(configuration(), it->first) == nullptr ? progress_.erase(it) : std::next(it);
  }
}

void RaftCore::HandleJoinRequest(const RaftMessage& message, MonotonicTime) {
  const bool is_member = FindMember(configuration(), message.from()) != nullptr;
  if (!IsLeader() || is_member || message.from_endpoint().empty()) return;
  pending_joins_[message.from()] = {message.from_endpoint(), message.from_boot_count()};
}

void RaftCore::ProposeConfiguration(const ClusterConfiguration& configuration, MonotonicTime now) {
  storage::LogEntry entry;
  entry.set_index(log_.last_index() + 1);
  entry.set_term(term());
  entry.set_type(storage::LogEntry::CONFIGURATION);
  entry.set_data(configuration.SerializeAsString());
  uncommitted_bytes_ += entry.data().size();
  AppendToLog(std::move(entry));
  RefreshProgress(now);
}

void RaftCore::RunMembershipPolicy(MonotonicTime now) {
  if (!CurrentTermCommitted() || IsTransferring() || !HasQuorum(now)) return;
  if (configurations_.back().index > commit_index_) return;
  // The first applicable step proposes its change; only one change may be in flight.
  static_cast<void>(RemoveReplacedVoter(now) || RemoveExcessVoter(now) || PromoteLearner(now) ||
                    RemoveUnresponsiveLearner(now) || AdmitLearner(now) || RefreshEndpoints(now));
}

// Whether `member` has been unresponsive for long, or its machine lost its disk and restarted with
// another replica id.
bool RaftCore::IsPresumedLost(const Member& member, MonotonicTime now) const {
  const auto found = progress_.find(member.replica_id());
  if (found == progress_.end()) return false;  // `member` is this replica
  const runtime::Duration since_last_response = now - found->second.last_response_at;
  const bool superseded = EndpointOf(member.replica_id()).empty();
  return since_last_response >= options_.replace_unresponsive_after ||
         (superseded && since_last_response >= options_.election_timeout_max);
}

bool RaftCore::IsUnresponsive(const Member& member, MonotonicTime now) const {
  const auto found = progress_.find(member.replica_id());
  return found != progress_.end() &&
         now - found->second.last_response_at >= options_.election_timeout_max;
}

bool RaftCore::HasSuccessor(const Member& member) const {
  const uint64_t successor = addresses_.SuccessorOf(member.replica_id());
  return successor != 0 && EndpointOf(member.replica_id()).empty() &&
         IsVoter(configuration(), successor);
}

uint64_t RaftCore::LongestUnresponsiveVoter(MonotonicTime now) const {
  constexpr int kUnresponsiveHeartbeats = 4;
  const Member* longest = nullptr;
  runtime::Duration longest_since_last_response =
      kUnresponsiveHeartbeats * options_.heartbeat_interval;
  for (const Member& member : configuration().members()) {
    const auto progress = progress_.find(member.replica_id());
    if (!member.voter() || progress == progress_.end()) continue;
    const runtime::Duration since_last_response = now - progress->second.last_response_at;
    if (since_last_response < longest_since_last_response ||
        EndpointOf(member.replica_id()).empty())
      continue;
    longest = &member;
    longest_since_last_response = since_last_response;
  }
  return longest == nullptr ? 0 : longest->replica_id();
}

// Removes an unresponsive voter that was replaced, whatever `target_voters` is, since it still
// counts in the quorum. It counts as replaced if its machine restarted with another replica id, or
// if it was unresponsive when a new replica was promoted and still is. With an even number of
// voters any unresponsive voter is removed, as after a planned replacement: this lowers the
// majority by one and so tolerates one more failure. A voter that was only unreachable joins again.
bool RaftCore::RemoveReplacedVoter(MonotonicTime now) {
  for (const Member& member : configuration().members()) {
    if (!member.voter() || member.replica_id() == replica_id()) continue;
    const bool replaced_while_unresponsive =
        replaced_while_unresponsive_.contains(member.replica_id());
    if (replaced_while_unresponsive && IsLive(member, now)) {
      replaced_while_unresponsive_.erase(member.replica_id());
      continue;
    }
    const bool restores_odd_count = VoterCount(configuration()) % 2 == 0;
    const bool replaced = replaced_while_unresponsive || restores_odd_count || HasSuccessor(member);
    if (!IsUnresponsive(member, now) || !replaced) continue;
    replaced_while_unresponsive_.erase(member.replica_id());
    ProposeConfiguration(WithoutMember(configuration(), member.replica_id()), now);
    return true;
  }
  return false;
}

// Whether `member` has responded to a message sent within the shortest election timeout.
bool RaftCore::IsLive(const Member& member, MonotonicTime now) const {
  const auto found = progress_.find(member.replica_id());
  return found != progress_.end() && found->second.last_contact.has_value() &&
         now - *found->second.last_contact < options_.election_timeout_min;
}

// Whether `member` has acknowledged, since the last heartbeat, everything that was committed before
// that heartbeat, and lags by at most `max_promotion_lag` entries.
bool RaftCore::IsCaughtUp(const Member& member, MonotonicTime now) const {
  const auto found = progress_.find(member.replica_id());
  if (found == progress_.end()) return false;
  const Progress& progress = found->second;
  return progress.mode == Progress::Mode::kReplicate && IsLive(member, now) &&
         *progress.last_contact >= last_heartbeat_ && progress.match >= commit_at_last_heartbeat_ &&
         progress.match + options_.max_promotion_lag >= log_.last_index();
}

bool RaftCore::AdmitLearner(MonotonicTime now) {
  const size_t members = static_cast<size_t>(configuration().members_size());
  if (pending_joins_.empty() || members >= VoterCount(configuration()) + options_.max_learners) {
    return false;
  }
  const auto [replica_id, address] = *pending_joins_.begin();
  pending_joins_.erase(pending_joins_.begin());
  if (FindMember(configuration(), replica_id) != nullptr) return false;
  Member member;
  member.set_replica_id(replica_id);
  member.set_endpoint(address.endpoint);
  member.set_boot_count(address.boot_count);
  ProposeConfiguration(WithMember(configuration(), member), now);
  return true;
}

bool RaftCore::PromoteLearner(MonotonicTime now) {
  size_t presumed_lost = 0;
  const Member* candidate = nullptr;
  for (const Member& member : configuration().members()) {
    if (member.voter()) {
      presumed_lost += IsPresumedLost(member, now) ? 1 : 0;
    } else if (candidate == nullptr && IsCaughtUp(member, now)) {
      candidate = &member;
    }
  }
  const size_t voters = VoterCount(configuration());
  const bool wanted =
      voters < options_.target_voters || (voters == options_.target_voters && presumed_lost > 0);
  // The promotion and the subsequent removal both need a majority of responding voters.
  const bool will_commit = voters + 1 - presumed_lost > (voters + 1) / 2;
  if (candidate == nullptr || !wanted || !will_commit) return false;
  Member promoted = *candidate;
  promoted.set_voter(true);
  const bool takes_over_endpoint = addresses_.IsSuccessor(promoted.replica_id());
  const uint64_t unresponsive = takes_over_endpoint ? 0 : LongestUnresponsiveVoter(now);
  if (unresponsive != 0) replaced_while_unresponsive_.insert(unresponsive);
  ProposeConfiguration(WithMember(configuration(), promoted), now);
  return true;
}

// With more than `target_voters` voters, removes a voter that is presumed lost. If all others are
// live, makes the voter that lags most a learner.
bool RaftCore::RemoveExcessVoter(MonotonicTime now) {
  if (VoterCount(configuration()) <= options_.target_voters) return false;
  const Member* excess = nullptr;
  bool all_live = true;
  for (const Member& member : configuration().members()) {
    if (!member.voter() || member.replica_id() == replica_id()) continue;
    if (IsPresumedLost(member, now)) {
      ProposeConfiguration(WithoutMember(configuration(), member.replica_id()), now);
      return true;
    }
    all_live = all_live && IsLive(member, now);
    const auto lag_of = [this](const Member& voter) {
      return log_.last_index() - progress_.at(voter.replica_id()).match;
    };
    if (excess == nullptr || lag_of(member) > lag_of(*excess)) excess = &member;
  }
  // If all voters are live, the one that was to be replaced responds again: the one that lags most
  // is demoted instead.
  if (excess == nullptr || !all_live) return false;
  Member demoted = *excess;
  demoted.set_voter(false);
  ProposeConfiguration(WithMember(configuration(), demoted), now);
  return true;
}

bool RaftCore::RemoveUnresponsiveLearner(MonotonicTime now) {
  for (const Member& member : configuration().members()) {
    if (member.voter() || !IsPresumedLost(member, now)) continue;
    ProposeConfiguration(WithoutMember(configuration(), member.replica_id()), now);
    return true;
  }
  return false;
}

// Writes newer endpoints to the configuration, for replicas that start after all others have moved
// to another endpoint.
bool RaftCore::RefreshEndpoints(MonotonicTime now) {
  ClusterConfiguration refreshed = configuration();
  bool changed = false;
  for (Member& member : *refreshed.mutable_members()) {
    const ReplicaAddress self{addresses_.self_endpoint(), boot_count()};
    const ReplicaAddress* known =
        member.replica_id() == replica_id() ? &self : addresses_.Find(member.replica_id());
    if (known == nullptr || known->endpoint.empty() || known->endpoint == member.endpoint()) {
      continue;
    }
    member.set_endpoint(known->endpoint);
    member.set_boot_count(known->boot_count);
    changed = true;
  }
  if (changed) ProposeConfiguration(refreshed, now);
  return changed;
}

}  // namespace posthatch::consensus
