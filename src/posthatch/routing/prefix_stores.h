#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "posthatch/control/control.pb.h"
#include "posthatch/runtime/runtime.h"

namespace posthatch::routing {

// One store of kept KV cache as this gateway sees it.
struct PrefixStore {
  std::string endpoint;
  std::string zone;
  double link_mbps = 0;
  runtime::MonotonicTime last_healthy_at;    // last told to answer; zero: never
  runtime::MonotonicTime last_unhealthy_at;  // last told not to answer
  uint32_t delayed_fetches = 0;              // in a row
  uint32_t backoffs = 0;                     // in a row
  runtime::MonotonicTime backoff_until;
};

// The stores that workers may save kept segments to and fetch them from. Which one keeps a prompt
// is the same for all gateways (rendezvous hashing). A store is used only while it is known to
// answer (StoreHealthChecker): a worker waits for a dead one, and its other moves wait with it.
// Event loop thread only.
class PrefixStores {
 public:
  explicit PrefixStores(runtime::Runtime* runtime) : runtime_(runtime) {}

  // Follows the configuration; what is known of a store stays.
  void Rebuild(const control::TrafficConfiguration& configuration);
  std::vector<std::string> Endpoints() const;
  // A watcher found the store to answer or not.
  void RecordHealth(const std::string& endpoint, bool alive);
  // The store that keeps prompts of `affinity`; null if there is none or it may not be used now.
  const PrefixStore* StoreFor(uint64_t affinity) const;
  // A first event after a fetch from `endpoint` came, `late` or in time. Other endpoints are
  // ignored.
  void RecordFetch(const std::string& endpoint, bool delayed);

 private:
  PrefixStore* Find(const std::string& endpoint);
  bool IsUsable(const PrefixStore& store) const;

  runtime::Runtime* const runtime_;
  std::vector<PrefixStore> stores_;
};

}  // namespace posthatch::routing
