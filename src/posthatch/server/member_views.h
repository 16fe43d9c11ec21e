#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "posthatch/index/replication/index_update_fanout.h"
#include "posthatch/membership/membership.h"
#include "posthatch/server/settings/node_settings.h"

// What both kinds of node derive from the members they know.
namespace posthatch::server {

// This process as gossip tells the others of it.
membership::Member MakeSelfMember(const NodeSettings& node, membership::MemberRole role,
                                  uint64_t incarnation);

// Internal endpoints of the live members of `role`, without this process. While none is known, the
// seed addresses, which may be of any role.
std::vector<std::string> LiveEndpoints(const membership::Membership& membership,
                                       membership::MemberRole role,
                                       const std::vector<std::string>& seeds);

// The other live gateways.
std::vector<index::IndexPeer> LiveIndexPeers(const membership::Membership& membership);

// Body of GET /admin/v1/members: this process first, then the others by node id.
std::string MembersView(const membership::Membership& membership);

}  // namespace posthatch::server
