#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::routing {

// Keeps what a cold worker gets, from all gateways together, below what it takes: a few gateways,
// chosen for each worker by rendezvous hashing over those alive, may send to it, each no faster
// than once in kMinSendInterval. Gateways that see the fleet differently add at most their number
// to that. Event loop thread only.
class SlowStartLimiter {
 public:
  // Two sends of one gateway fit into a second at the most.
  static constexpr runtime::Duration kMinSendInterval = std::chrono::milliseconds(700);

  // `gateways`: ids of the live gateways of the fleet, with this one.
  SlowStartLimiter(const runtime::Clock* clock, std::string self,
                   std::function<std::vector<std::string>()> gateways)
      : clock_(clock), self_(std::move(self)), gateways_(std::move(gateways)) {}

  // Whether this gateway may send one request now to a cold worker that takes `requests_per_second`
  // from the whole fleet.
  bool MaySend(const std::string& worker_id, double requests_per_second) const;
  void RecordSend(const std::string& worker_id);
  // The worker is gone or no longer cold.
  void Remove(const std::string& worker_id) { last_send_at_.erase(worker_id); }

 private:
  bool IsAssigned(const std::string& worker_id, size_t max_gateways) const;

  const runtime::Clock* const clock_;
  const std::string self_;
  const std::function<std::vector<std::string>()> gateways_;
  absl::flat_hash_map<std::string, runtime::MonotonicTime> last_send_at_;
};

}  // namespace posthatch::routing
