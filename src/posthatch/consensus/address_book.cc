#include "posthatch/consensus/address_book.h"

#include <algorithm>
#include <utility>

namespace posthatch::consensus {

void AddressBook::Set(uint64_t replica_id, ReplicaAddress address) {
  if (address.endpoint == self_endpoint_) address.endpoint.clear();
  for (auto& [id, other] : addresses_) {
    if (id == replica_id || other.endpoint.empty() || other.endpoint != address.endpoint) continue;
    other.endpoint.clear();
    successors_[id] = replica_id;
  }
  addresses_[replica_id] = std::move(address);
}

const ReplicaAddress* AddressBook::Find(uint64_t replica_id) const {
  const auto found = addresses_.find(replica_id);
  return found == addresses_.end() ? nullptr : &found->second;
}

std::string AddressBook::EndpointOf(uint64_t replica_id) const {
  if (replica_id == self_id_) return self_endpoint_;
  const ReplicaAddress* address = Find(replica_id);
  return address == nullptr ? std::string() : address->endpoint;
}

uint64_t AddressBook::SuccessorOf(uint64_t replica_id) const {
  const auto found = successors_.find(replica_id);
  return found == successors_.end() ? 0 : found->second;
}

bool AddressBook::IsSuccessor(uint64_t replica_id) const {
  return std::any_of(successors_.begin(), successors_.end(),
                     [replica_id](const auto& entry) { return entry.second == replica_id; });
}

}  // namespace posthatch::consensus
