#include "posthatch/membership/broadcast_queue.h"

namespace posthatch::membership {

void BroadcastQueue::Add(const std::string& node_id, std::string record) {
  const auto found = keys_by_node_.find(node_id);
  if (found != keys_by_node_.end()) updates_.erase(found->second);
  const Key key{0, next_tie_breaker_--};
  updates_.emplace(key, Update{node_id, std::move(record)});
  keys_by_node_[node_id] = key;
  if (updates_.size() > max_updates_) {
    const auto most_transmitted = std::prev(updates_.end());
    keys_by_node_.erase(most_transmitted->second.node_id);
    updates_.erase(most_transmitted);
  }
}

std::vector<std::string> BroadcastQueue::Take(size_t max_bytes, int transmit_limit) {
  std::vector<std::string> taken;
  std::vector<std::pair<Key, Update>> again;
  for (auto next = updates_.begin(); next != updates_.end();) {
    const size_t bytes = next->second.record.size() + kFramingBytes;
    if (bytes > max_bytes) break;
    max_bytes -= bytes;
    taken.push_back(next->second.record);
    const Key key{next->first.transmissions + 1, next->first.tie_breaker};
    if (key.transmissions >= transmit_limit) {
      keys_by_node_.erase(next->second.node_id);
    } else {
      again.emplace_back(key, std::move(next->second));
    }
    next = updates_.erase(next);
  }
  for (auto& [key, update] : again) {
    keys_by_node_[update.node_id] = key;
    updates_.emplace(key, std::move(update));
  }
  return taken;
}

}  // namespace posthatch::membership
