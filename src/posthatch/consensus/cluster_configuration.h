#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "posthatch/consensus/consensus.pb.h"

namespace posthatch::consensus {

// Functions on the cluster membership stored in a configuration entry or a snapshot.

// Null if `replica_id` is not a member.
const Member* FindMember(const ClusterConfiguration& configuration, uint64_t replica_id);
Member* FindMutableMember(ClusterConfiguration* configuration, uint64_t replica_id);
bool IsVoter(const ClusterConfiguration& configuration, uint64_t replica_id);
size_t VoterCount(const ClusterConfiguration& configuration);
// Adds `member`, or replaces the existing member with the same replica id.
ClusterConfiguration WithMember(ClusterConfiguration configuration, const Member& member);
ClusterConfiguration WithoutMember(ClusterConfiguration configuration, uint64_t replica_id);

// Whether `has` returns true for a majority of the voters; false if there are no voters.
bool MajorityHas(const ClusterConfiguration& configuration,
                 const std::function<bool(uint64_t replica_id)>& has);
// The highest value that a majority of the voters has reached; 0 if there are no voters.
uint64_t MajorityValue(const ClusterConfiguration& configuration,
                       const std::function<uint64_t(uint64_t replica_id)>& value_of);

// Parses the data of a configuration entry or of a snapshot's metadata; an empty configuration if
// it does not parse.
ClusterConfiguration ParseConfiguration(const std::string& data);

}  // namespace posthatch::consensus
