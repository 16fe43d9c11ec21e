#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace posthatch::consensus {

// Where a replica is: the endpoint of its newest known start.
struct ReplicaAddress {
  std::string endpoint;     // empty: unknown, or another replica is there now
  uint64_t boot_count = 0;  // of the process that had this endpoint; the highest is the newest
};

// The addresses of the replicas that this one knows. Only one replica is at an endpoint: the one
// that was there before has moved or has lost its disk, and the newer one is its successor. Owned
// by RaftCore; not thread-safe.
class AddressBook {
 public:
  AddressBook(uint64_t self_id, std::string self_endpoint)
      : self_id_(self_id), self_endpoint_(std::move(self_endpoint)) {}

  const std::string& self_endpoint() const { return self_endpoint_; }
  // Records the address of another replica, whatever was known before.
  void Set(uint64_t replica_id, ReplicaAddress address);
  // Null if `replica_id` is not known, or is this replica.
  const ReplicaAddress* Find(uint64_t replica_id) const;
  // Empty if unknown.
  std::string EndpointOf(uint64_t replica_id) const;

  // The replica that took over the endpoint of `replica_id`; 0 if none has.
  uint64_t SuccessorOf(uint64_t replica_id) const;
  // Whether `replica_id` has taken over the endpoint of any other replica.
  bool IsSuccessor(uint64_t replica_id) const;

 private:
  const uint64_t self_id_;
  const std::string self_endpoint_;
  std::map<uint64_t, ReplicaAddress> addresses_;
  std::map<uint64_t, uint64_t> successors_;  // by the id of the replica that was there before
};

}  // namespace posthatch::consensus
