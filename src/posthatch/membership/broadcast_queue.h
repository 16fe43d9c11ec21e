#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace posthatch::membership {

// Updates that this process still disseminates, at most one per node id, those transmitted least
// often first. Owned by GossipMembership; event loop thread only.
class BroadcastQueue {
 public:
  explicit BroadcastQueue(size_t max_updates) : max_updates_(max_updates) {}

  // Adds an update (a serialized MemberRecord), which replaces an earlier one about `node_id`.
  // Beyond max_updates the one transmitted most often is dropped: anti-entropy spreads it as well.
  void Add(const std::string& node_id, std::string record);

  // Returns updates of at most `max_bytes` in all (with framing) and counts one transmission for
  // each; after `transmit_limit` transmissions an update is dropped.
  std::vector<std::string> Take(size_t max_bytes, int transmit_limit);

  bool empty() const { return updates_.empty(); }
  size_t size() const { return updates_.size(); }

 private:
  // Protobuf tag and length of one record in a message.
  static constexpr size_t kFramingBytes = 3;
  struct Update {
    std::string node_id;
    std::string record;
  };
  // Order of transmission: fewest transmissions first, then the newest.
  struct Key {
    int transmissions;
    uint64_t tie_breaker;  // decreases with each added update
    auto operator<=>(const Key&) const = default;
  };

  const size_t max_updates_;
  uint64_t next_tie_breaker_ = UINT64_MAX;
  std::map<Key, Update> updates_;
  std::map<std::string, Key> keys_by_node_;
};

}  // namespace posthatch::membership
