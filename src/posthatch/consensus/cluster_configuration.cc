#include "posthatch/consensus/cluster_configuration.h"

#include <algorithm>

namespace posthatch::consensus {

const Member* FindMember(const ClusterConfiguration& configuration, uint64_t replica_id) {
  for (const Member& member : configuration.members()) {
    if (member.replica_id() == replica_id) return &member;
  }
  return nullptr;
}

Member* FindMutableMember(ClusterConfiguration* configuration, uint64_t replica_id) {
  for (Member& member : *configuration->mutable_members()) {
    if (member.replica_id() == replica_id) return &member;
  }
  return nullptr;
}

bool IsVoter(const ClusterConfiguration& configuration, uint64_t replica_id) {
  const Member* member = FindMember(configuration, replica_id);
  return member != nullptr && member->voter();
}

size_t VoterCount(const ClusterConfiguration& configuration) {
  size_t count = 0;
  for (const Member& member : configuration.members()) count += member.voter() ? 1 : 0;
  return count;
}

ClusterConfiguration WithMember(ClusterConfiguration configuration, const Member& member) {
  Member* existing = FindMutableMember(&configuration, member.replica_id());
  if (existing == nullptr) existing = configuration.add_members();
  *existing = member;
  return configuration;
}

ClusterConfiguration WithoutMember(ClusterConfiguration configuration, uint64_t replica_id) {
  auto* members = configuration.mutable_members();
  members->erase(std::remove_if(members->begin(), members->end(),
                                [replica_id](const Member& member) {
                                  return member.replica_id() == replica_id;
                                }),
                 members->end());
  return configuration;
}

bool MajorityHas(const ClusterConfiguration& configuration,
                 const std::function<bool(uint64_t replica_id)>& has) {
  size_t count = 0;
  for (const Member& member : configuration.members()) {
    if (member.voter() && has(member.replica_id())) ++count;
  }
  return count > VoterCount(configuration) / 2;
}

uint64_t MajorityValue(const ClusterConfiguration& configuration,
                       const std::function<uint64_t(uint64_t replica_id)>& value_of) {
  std::vector<uint64_t> values;
  for (const Member& member : configuration.members()) {
    if (member.voter()) values.push_back(value_of(member.replica_id()));
  }
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[values.size() / 2];
}

ClusterConfiguration ParseConfiguration(const std::string& data) {
  ClusterConfiguration configuration;
  if (!configuration.ParseFromString(data)) configuration.Clear();
  return configuration;
}

}  // namespace posthatch::consensus
