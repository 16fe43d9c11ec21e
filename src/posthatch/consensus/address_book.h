#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace posthatch::consensus {

// Endpoint of a replica as of its most recent known start.
struct ReplicaAddress {
  std::string endpoint;     // empty if unknown or taken over by another replica
  uint64_t boot_count = 0;  // boot count of the process at `endpoint`; the highest is the newest
};

// Addresses of the replicas known to this one. An endpoint belongs to one replica at a time: when
// another replica appears at it, the previous one has moved or lost its disk, and the newer one is
// recorded as its successor. Owned by RaftCore; not thread-safe.
class AddressBook {
 public:
  AddressBook(uint64_t self_id, std::string self_endpoint)
      : self_id_(self_id), self_endpoint_(std::move(self_endpoint)) {}

  const std::string& self_endpoint() const { return self_endpoint_; }
  // Records the address of another replica, replacing any known one.
  void Set(uint64_t replica_id, ReplicaAddress address);
  // Null if `replica_id` is not known, or is this replica.
  const ReplicaAddress* Find(uint64_t replica_id) const;
  // Internal endpoint of `replica_id`; empty if unknown.
  std::string EndpointOf(uint64_t replica_id) const;

  // The replica that took over the endpoint of `replica_id`; 0 if none has.
  uint64_t SuccessorOf(uint64_t replica_id) const;
  // Whether `replica_id` has taken over the endpoint of any other replica.
  bool IsSuccessor(uint64_t replica_id) const;

 private:
  const uint64_t self_id_;
  const std::string self_endpoint_;
  std::map<uint64_t, ReplicaAddress> addresses_;
  std::map<uint64_t, uint64_t> successors_;  // keyed by the id of the previous replica
};

}  // namespace posthatch::consensus
