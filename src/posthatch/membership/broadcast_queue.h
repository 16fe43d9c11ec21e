#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace posthatch::membership {

// Updates that this process still passes on, at most one per node id, those passed on least first.
// Owned by GossipMembership.
class BroadcastQueue {
 public:
  explicit BroadcastQueue(size_t max_updates) : max_updates_(max_updates) {}

  // Adds an update (a serialized MemberRecord), in place of an earlier one about `node_id`. Beyond
  // max_updates the one passed on most often is dropped: anti-entropy brings it to the others.
  void Add(const std::string& node_id, std::string record);

  // Takes updates of at most `max_bytes` in all (with framing), and counts each as passed on once;
  // after `transmit_limit` times an update is dropped.
  std::vector<std::string> Take(size_t max_bytes, int transmit_limit);

  bool empty() const { return updates_.empty(); }
  size_t size() const { return updates_.size(); }

 private:
  // Tag and length of a repeated bytes field.
  static constexpr size_t kFramingBytes = 3;
  struct Update {
    std::string node_id;
    std::string record;
  };
  // Order of transmission: fewest transmissions first, then the newest.
  struct Key {
    int transmissions;
    uint64_t tie_breaker;  // falls with each update added
    auto operator<=>(const Key&) const = default;
  };

  const size_t max_updates_;
  uint64_t next_tie_breaker_ = UINT64_MAX;
  std::map<Key, Update> updates_;
  std::map<std::string, Key> keys_by_node_;
};

}  // namespace posthatch::membership
