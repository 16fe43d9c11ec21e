#include "posthatch/server/controllers_view.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

namespace posthatch::server {
namespace {

const char* RoleName(consensus::ReplicaRole role) {
  switch (role) {
    case consensus::ReplicaRole::kUnbootstrapped:
      return "unbootstrapped";
    case consensus::ReplicaRole::kLearner:
      return "learner";
    case consensus::ReplicaRole::kFollower:
      return "follower";
    case consensus::ReplicaRole::kCandidate:
      return "candidate";
    case consensus::ReplicaRole::kLeader:
      return "leader";
  }
  return "unknown";
}

boost::json::object MemberJson(const consensus::ReplicaStatus::MemberStatus& member) {
  boost::json::object json;
  json["replica_id"] = std::to_string(member.replica_id);
  json["endpoint"] = member.endpoint;
  json["voter"] = member.voter;
  json["match_index"] = member.match_index;
  json["silent_ms"] = runtime::ToMilliseconds(member.since_last_response);
  return json;
}

}  // namespace

std::string ControllersView(const consensus::ReplicaStatus& status) {
  boost::json::array members;
  for (const auto& member : status.members) members.push_back(MemberJson(member));
  boost::json::object view;
  view["replica_id"] = std::to_string(status.replica_id);
  view["cluster_id"] = std::to_string(status.cluster_id);
  view["role"] = RoleName(status.role);
  view["term"] = status.term;
  view["leader_endpoint"] = status.leader_endpoint;
  view["commit_index"] = status.commit_index;
  view["applied_index"] = status.applied_index;
  view["snapshot_index"] = status.snapshot_index;
  view["disk_sync_p95_ms"] = runtime::ToMilliseconds(status.disk_sync_p95);
  view["disk_full"] = status.disk_full;
  view["members"] = std::move(members);
  return boost::json::serialize(view);
}

}  // namespace posthatch::server
