#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::invalidation {

// A publisher's state for one subscriber on one channel.
struct Registration {
  std::string endpoint;  // internal endpoint of the subscriber
  std::string channel;
  std::string zone;
  uint64_t incarnation = 0;  // incarnation of the subscriber's process
  uint64_t number = 0;       // the subscriber's registration number
  uint64_t epoch = 0;        // epoch of the publisher that granted it
  uint64_t next_sequence = 1;
  bool relay = false;  // the subscriber is a relay point
  // If true, all objects of the channel but the listed ones are covered; else only the listed ones.
  bool all_objects = false;
  absl::flat_hash_set<std::string> listed_objects;
  runtime::Duration heartbeat{};
  runtime::MonotonicTime expires_at;
  runtime::MonotonicTime next_heartbeat_at;

  bool Covers(const std::string& object) const {
    return all_objects != listed_objects.contains(object);
  }
};

// The registrations of a publisher, at most one for each channel and endpoint, and the schedule of
// their heartbeats. Ordered by channel and endpoint, so that runs of equal seed send in equal
// order. Owned by InvalidationPublisher; not thread-safe. Pointers to a registration are valid
// until it is erased.
class RegistrationTable {
 public:
  // Returns null if there is none.
  Registration* Find(const std::string& channel, const std::string& endpoint) const;
  // Requires that there is no registration of the same channel and endpoint. The first heartbeat is
  // due at `registration->next_heartbeat_at`.
  void Add(std::unique_ptr<Registration> registration);
  void Erase(const std::string& channel, const std::string& endpoint);
  void ScheduleHeartbeat(Registration* registration, runtime::MonotonicTime next_heartbeat_at);

  // The registration whose heartbeat is due first; null if there is none.
  Registration* NextHeartbeat() const;
  // Registrations of a channel, ordered by endpoint.
  std::vector<Registration*> FindByChannel(const std::string& channel) const;
  size_t CountByChannel(const std::string& channel) const;
  size_t size() const { return registrations_.size(); }

 private:
  using Key = std::pair<std::string, std::string>;  // channel, endpoint

  absl::btree_map<Key, std::unique_ptr<Registration>> registrations_;
  absl::btree_set<std::pair<runtime::MonotonicTime, Key>> heartbeat_schedule_;
  absl::flat_hash_map<std::string, size_t> count_by_channel_;
};

}  // namespace posthatch::invalidation
