#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "posthatch/runtime/clock.h"

namespace posthatch::routing {

// Limits the requests that a worker in slow start gets from all gateways together: a few gateways,
// assigned to each worker by rendezvous hashing over the live ones, may send to it, each at most
// once per kMinSendInterval. Gateways with a different view of the fleet may add at most as many
// senders as there are such gateways. Owned by TrafficGateway; event loop thread only.
class SlowStartLimiter {
 public:
  // Allows at most two sends of one gateway within any second.
  static constexpr runtime::Duration kMinSendInterval = std::chrono::milliseconds(700);

  // `gateways`: returns the ids of the fleet's live gateways, including this one.
  SlowStartLimiter(const runtime::Clock* clock, std::string self,
                   std::function<std::vector<std::string>()> gateways)
      : clock_(clock), self_(std::move(self)), gateways_(std::move(gateways)) {}

  // Whether this gateway may send one request now to a worker in slow start that accepts
  // `requests_per_second` from the whole fleet.
  bool MaySend(const std::string& worker_id, double requests_per_second) const;
  // A request was sent to a worker in slow start.
  void RecordSend(const std::string& worker_id);
  // The worker has left the inventory.
  void Remove(const std::string& worker_id) { last_send_at_.erase(worker_id); }

 private:
  // Whether this gateway is among the `max_gateways` that may send to the worker.
  bool IsAssigned(const std::string& worker_id, size_t max_gateways) const;

  const runtime::Clock* const clock_;
  const std::string self_;
  const std::function<std::vector<std::string>()> gateways_;
  absl::flat_hash_map<std::string, runtime::MonotonicTime> last_send_at_;
};

}  // namespace posthatch::routing
