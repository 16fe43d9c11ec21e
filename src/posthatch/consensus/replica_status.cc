#include "posthatch/consensus/replica_status.h"

#include <utility>

namespace posthatch::consensus {
namespace {

ReplicaStatus::MemberStatus MemberStatusOf(const RaftCore& core, const Member& member,
                                           runtime::MonotonicTime now) {
  ReplicaStatus::MemberStatus status;
  status.replica_id = member.replica_id();
  status.endpoint = core.EndpointOf(member.replica_id());
  status.voter = member.voter();
  const auto found = core.progress().find(member.replica_id());
  if (found != core.progress().end()) {
    status.match_index = found->second.match;
    status.since_last_response = now - found->second.last_response_at;
  }
  return status;
}

}  // namespace

ReplicaStatus StatusOf(const RaftCore& core, runtime::MonotonicTime now) {
  ReplicaStatus status;
  status.replica_id = core.replica_id();
  status.cluster_id = core.cluster_id();
  status.role = core.role();
  status.term = core.term();
  status.leader_id = core.leader_id();
  status.leader_endpoint = core.LeaderEndpoint();
  for (const Member& member : core.configuration().members()) {
    status.members.push_back(MemberStatusOf(core, member, now));
  }
  status.first_index = core.log().base_index() + 1;
  status.last_index = core.log().last_index();
  status.durable_index = core.durable_index();
  status.commit_index = core.commit_index();
  status.applied_index = core.applied_index();
  return status;
}

}  // namespace posthatch::consensus
