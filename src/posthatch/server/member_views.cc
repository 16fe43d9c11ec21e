#include "posthatch/server/member_views.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace posthatch::server {
namespace {

const char* RoleName(membership::MemberRole role) {
  return role == membership::MemberRole::kGateway ? "gateway" : "controller";
}

const char* StateName(membership::MemberState state) {
  switch (state) {
    case membership::MemberState::kAlive:
      return "alive";
    case membership::MemberState::kSuspect:
      return "suspect";
    case membership::MemberState::kDead:
      return "dead";
    case membership::MemberState::kLeft:
      return "left";
  }
  return "unknown";
}

boost::json::object MemberJson(const membership::Member& member) {
  boost::json::object json;
  json["node_id"] = member.node_id;
  json["role"] = RoleName(member.role);
  json["zone"] = member.zone;
  json["region"] = member.region;
  json["internal_endpoint"] = member.internal_endpoint;
  json["http_endpoint"] = member.http_endpoint;
  json["state"] = StateName(member.state);
  return json;
}

}  // namespace

membership::Member MakeSelfMember(const NodeSettings& node, membership::MemberRole role,
                                  uint64_t incarnation) {
  membership::Member self;
  self.node_id = node.node_id;
  self.role = role;
  self.zone = node.zone;
  self.region = node.region;
  self.internal_endpoint = node.internal_endpoint;
  self.http_endpoint = node.http_endpoint;
  self.incarnation = incarnation;
  return self;
}

std::vector<std::string> LiveEndpoints(const membership::Membership& membership,
                                       membership::MemberRole role,
                                       const std::vector<std::string>& seeds) {
  std::vector<std::string> endpoints;
  for (const membership::Member& member : membership.LiveMembers()) {
    if (member.role == role) endpoints.push_back(member.internal_endpoint);
  }
  return endpoints.empty() ? seeds : endpoints;
}

std::vector<std::string> LeaderCandidates(const membership::Membership& membership,
                                          const std::vector<std::string>& seeds) {
  std::vector<std::string> endpoints;
  for (const auto& members : {membership.LiveMembers(), membership.DampedMembers()}) {
    for (const membership::Member& member : members) {
      if (member.role == membership::MemberRole::kController) {
        endpoints.push_back(member.internal_endpoint);
      }
    }
  }
  return endpoints.empty() ? seeds : endpoints;
}

std::vector<index::IndexPeer> LiveIndexPeers(const membership::Membership& membership) {
  std::vector<index::IndexPeer> peers;
  for (const membership::Member& member : membership.LiveMembers()) {
    if (member.role != membership::MemberRole::kGateway) continue;
    peers.push_back({member.node_id, member.zone, member.internal_endpoint});
  }
  return peers;
}

std::string MembersView(const membership::Membership& membership) {
  boost::json::array members;
  members.push_back(MemberJson(membership.self()));
  for (const membership::Member& member : membership.LiveMembers()) {
    members.push_back(MemberJson(member));
  }
  boost::json::object view;
  view["members"] = std::move(members);
  return boost::json::serialize(view);
}

}  // namespace posthatch::server
