#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "posthatch/index/replication/index_update_fanout.h"
#include "posthatch/membership/membership.h"
#include "posthatch/server/settings/node_settings.h"

// Views of the fleet members known by gossip, for gateways and controllers.
namespace posthatch::server {

// Returns the member that advertises this process by gossip.
membership::Member MakeSelfMember(const NodeSettings& node, membership::MemberRole role,
                                  uint64_t incarnation);

// Internal endpoints of the other live members of `role`. While none is known, the seed addresses,
// which may be of any role.
std::vector<std::string> LiveEndpoints(const membership::Membership& membership,
                                       membership::MemberRole role,
                                       const std::vector<std::string>& seeds);

// Internal endpoints of the other controllers that may lead, in the order in which to ask them: the
// live ones, then those that run but whose flapping is damped. While none is known, the seeds.
std::vector<std::string> LeaderCandidates(const membership::Membership& membership,
                                          const std::vector<std::string>& seeds);

// Returns the live gateways except this process, as peers of the prefix cache index.
std::vector<index::IndexPeer> LiveIndexPeers(const membership::Membership& membership);

// Body of GET /admin/v1/members: this process first, then the others by node id.
std::string MembersView(const membership::Membership& membership);

}  // namespace posthatch::server
