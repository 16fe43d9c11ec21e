#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "posthatch/membership/gossip_options.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::membership {

// Suspected members and when each suspicion expires. The time-out shrinks with each further accuser
// (Lifeguard, section IV.B). Owned by GossipMembership; event loop thread only.
class SuspicionList {
 public:
  explicit SuspicionList(const GossipOptions* options) : options_(options) {}

  // Starts a suspicion in a fleet of `fleet_size` processes; no effect if there is one already.
  void Start(const std::string& node_id, const std::string& accuser, size_t fleet_size,
             runtime::MonotonicTime now);
  // Adds an accuser; true if it was new and still shortened the time-out.
  bool Confirm(const std::string& node_id, const std::string& accuser);
  void Remove(const std::string& node_id) { suspicions_.erase(node_id); }
  // Postpones all expiries, after this process was stopped or isolated.
  void Extend(runtime::Duration duration);
  // Removes and returns the node ids whose suspicion has expired, sorted.
  std::vector<std::string> TakeExpired(runtime::MonotonicTime now);
  bool empty() const { return suspicions_.empty(); }

 private:
  struct Suspicion {
    runtime::MonotonicTime start;
    runtime::Duration min_timeout;
    std::set<std::string> accusers;
  };
  runtime::Duration TimeoutOf(const Suspicion& suspicion) const;

  const GossipOptions* const options_;
  std::map<std::string, Suspicion> suspicions_;
};

}  // namespace posthatch::membership
